// The label values under which the metrics count exchanges and intents.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.IntentOutcome

internal fun metricLabelOf(outcome: IntentOutcome): String = when (outcome) {
    IntentOutcome.Recorded -> "recorded"
    IntentOutcome.AlreadyAnswered -> "already-answered"
    IntentOutcome.AlreadyStarted -> "already-started"
    IntentOutcome.PayloadDiffers -> "payload-differs"
    is IntentOutcome.NotRecorded -> "not-recorded"
    is IntentOutcome.Unknown -> "unknown"
}

internal fun metricLabelOf(result: ExchangeResult): String = when (result) {
    is ExchangeResult.Answered -> if (result.overloaded) "overloaded" else "answered"
    is ExchangeResult.NotSent -> "not-sent"
    is ExchangeResult.Unanswered -> if (result.silent) "silent" else "unanswered"
}
