#!/usr/bin/env bash
# A job runs on after its requester has left and its cancelling was answered.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left
# out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/review2/Main.class ] || [ ! -d target/node/lib ]; then
    echo "build first: the command in deploy/system.toml, and review/build-2.sh"
    exit 2
fi
exec java -Xmx1g -cp target/review-2 review2.Main cancelled-in-transit review/10/record.txt
