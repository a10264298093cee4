// Names of results as the metrics show them.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.IntentOutcome

internal fun nameOf(outcome: IntentOutcome): String = when (outcome) {
    IntentOutcome.Recorded -> "recorded"
    IntentOutcome.AlreadyAnswered -> "already-answered"
    IntentOutcome.AlreadyStarted -> "already-started"
    IntentOutcome.PayloadDiffers -> "payload-differs"
    is IntentOutcome.NotRecorded -> "not-recorded"
    is IntentOutcome.Unknown -> "unknown"
}

internal fun nameOf(result: ExchangeResult): String = when (result) {
    is ExchangeResult.Answered -> if (result.overloaded) "overloaded" else "answered"
    is ExchangeResult.NotSent -> "not-sent"
    is ExchangeResult.Unanswered -> if (result.silent) "silent" else "unanswered"
}
