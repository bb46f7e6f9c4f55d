#!/usr/bin/env bash
# Shows that the test of each promise fails without the code that keeps it: applies one change
# at a time to a copy of the tree and expects the named tests to fail; without the change they
# must pass. Usage: scripts/promises.sh [P1 ...]
set -uo pipefail
cd "$(dirname "$0")/.."
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
status=0

# check PROMISE FILE PERL-SUBSTITUTION PACKAGE TEST
check() {
  local promise="$1" file="$2" change="$3" package="$4" test="$5"
  if [ "${#wanted[@]}" -gt 0 ] && [[ " ${wanted[*]} " != *" $promise "* ]]; then
    return
  fi
  cp "$file" "$copy/$file"
  if ! (cd "$copy" && timeout 120 go test -count=1 -run "$test" "./$package" >/dev/null 2>&1); then
    echo "BAD  $promise $test fails without any change"
    status=1
    return
  fi
  perl -0pi -e "$change" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "BAD  $promise the change of $file does not apply"
    status=1
  elif ! (cd "$copy" && go vet "./$package" >/dev/null 2>&1); then
    echo "BAD  $promise the change of $file does not build"
    status=1
  elif (cd "$copy" && timeout 120 go test -count=1 -run "$test" "./$package" >/dev/null 2>&1); then
    echo "BAD  $promise $test passes with the change of $file"
    status=1
  else
    echo "ok   $promise $package $test: passes, and fails with the change of $file"
  fi
  cp "$file" "$copy/$file"
}

wanted=("$@")
check P1 rollout/sample.go 's/p\.ranges\[n-1\]\.Version == version/true/' rollout TestAttributionThroughSwapAndResume
check P2 rollout/take.go 's/lag > svc\.Rollout\.MaxVersionLag/lag > svc.Rollout.MaxVersionLag+1000/; s/lag <= softLag\(svc\.Rollout\)/lag <= softLag(svc.Rollout)+1000/' rollout TestAgeBoundAtHandOver
check P3 rollout/take.go 's/if have\.Get\(s\.position\) \{\n\t\t\tcontinue/if false {\n\t\t\tcontinue/' rollout 'TestTrainerRestartsWithOlderBitmap|TestTwoOwners|TestAnySequenceDeliversExactlyOnce'
check P4 standalone/httpplatform/exchange.go 's/got != in\.requestID/false/' gateway TestPlainFaultsOverHTTP
check P5 entry/ready.go 's/outcome = gateway\.Unknown/outcome = gateway.NotRun/' entry TestInstanceWithoutStateRefuses
check P6 claim/fold.go 's/if offset > st\.nextApply \{/if offset > st.nextApply+1000 {/' claim 'TestConcurrentBeginsRunOnce|TestAtMostOnceUnderFaults'
check P7 health/backend.go 's/b\.pollLeaving \|\| b\.listLeaving \|\| /b.pollLeaving || /' entry TestListedLeavingBackendGetsNoWork
check P8 entry/stop.go 's/if err := i\.gateway\.Drain\(ctx\); err != nil \{.*?\n\t\}\n.*?return i\.awaitIdle\(ctx\)/return nil/s' entry TestPlannedStopFinishesRequestsInFlight
check P9 release/catalog.go 's/last > n\.Base/last > n.Base \&\& false/' entry TestRacingOperatorsGetOneWinner
# The hosted program (docs/design/platform.md).
check H1 changelog/replica.go 's/r\.log\.Append\(ctx, r\.partition, records, expected\)/r.log.Append(ctx, r.partition, records, Unconditional)/' changelog 'TestOnlyOneOfTwoWritersWins|TestClaimsAgreeUnderFaults'
check H2 changelog/replica.go 's/errors\.As\(err, &trimmed\)/false \&\& errors.As(err, \&trimmed)/' changelog TestReloadAfterExpiry
check H3 job/driver.go 's/if !dead \|\| d\.takeoversStopped/if true || !dead || d.takeoversStopped/' instance TestJobOfADeadDriverIsTakenOver
check H4 job/run.go 's/a\.saveCheckpoint\(\)/_ = a.saveCheckpoint/' instance TestTakeoverGoesOnWithTheTextSoFar
check H5 platform/hosted/stream.go 's/case len\(rest\) > 0 \|\| builder\.isPartial\(\):/case false:/' platform/hosted TestIncompleteStreams
check H6 platform/hosted/stream.go 's/strings\.EqualFold\(string\(name\), headerVersions\)/false/; s/default:\n\t\treturn false, &EventError\{Line: string\(line\)\}/default:/' platform/hosted TestVersionsFollowTheChangeLines
check H7 platform/hosted/backend.go 's/if impliesNotRun\(response\.StatusCode\)/if false \&\& impliesNotRun(response.StatusCode)/' platform/hosted TestStatusAloneIsNoRefusal
check H8 forward/forward.go 's/if e\.route\.Kind == routes\.Idempotent/if e.route.Kind == routes.Idempotent || true/; s/attempts = max\(1, e\.route\.Attempts\)/attempts = 3/' instance TestNonIdempotentRequests
check H9 backends/backends.go 's/b\.Service != service \|\| b\.leaving/b.Service != service/' backends TestLeavingAndGoneBackendsAreNoCandidates
check H10 instance/instance.go 's/old\.Version >= c\.Version/false/' instance TestConfigurationNeverGoesBack
check H11 duty/duty.go 's/timing\.SinceBoot\(\)-d\.renewedAt > leaseTTL/false/' duty TestHolderWithoutRenewalStopsActing
check H12 job/driver.go 's/if !owned\[id\] \{/if false \&\& !owned[id] {/' instance TestEndedJobStartsNoItem
check H13 instance/instance.go 's/i\.server\.Shutdown\(ctx\)/i.server.Close()/' instance TestPlannedStopHandsJobsOver
check H14 job/list.go 's/ctx := g\.writeCtx/ctx := context.Background()/' instance TestStopDoesNotWaitForTheStore
check H15 job/registry.go 's/ \|\| \(g\.opts\.Peers\.Dead\(s\.Driver\) && g\.opts\.Peers\.Rank\(string\(s\.ID\)\) == 0\)//' job TestOldJobOfADeadDriverIsDeleted
check H16 job/registry.go 's/err := changelog\.AppendWithRetry\(ctx, g\.opts\.Log, p\.id, records\)/err := error(&changelog.UnknownError{})/' job TestAcceptanceReadsNoResults
check H17 job/order.go 's/submittedMs-expected\.Milliseconds\(\)/submittedMs/' job TestLongTextsBeginFirst
check H18 job/place.go 's/version < req\.minVersion/false/' job TestEngineWithOldWeightsGetsNoItem
check H19 job/run.go 's/b != nil && b\.Service != service/false/' job TestTextDoesNotMoveWithinAServiceThatItsRouteHasLeft
check H20 job/place.go 's/\(req\.exactVersion != 0 && version != req\.exactVersion\)/false/' job TestTextOfOneVersionMovesWithinItsVersion
check H21 presence/presence.go 's/hasChanged: known/hasChanged: true/' presence TestStartingInstanceGivesNoWorkToTheDead
check H22 versions/plan.go 's/rank = float64\(p\.usable\) \/ p\.enginesPerStep/rank = 0/' versions TestModelsThatCatchUpShareTheLoads
check H23 link/exchange.go 's/if s\.opened\.After\(start\)/if true || s.opened.After(start)/' link TestSessionsRetiredByThePeerCostNoAttempt
check H24 link/session.go 's/if s\.used\.Load\(\)/if true/' link TestUnusedSessionOutlivesTheIdleTimeout
check H25 ratelimit/limiter.go 's/case owner\.Ref\(\) == l\.opts\.Self:/case true:/' instance TestInstancesKeepTheRateLimitOfTheOnlyBackEndTogether
check H26 ratelimit/limiter.go 's/delay = min\(delay, l\.backoff\(owner\.Ref\(\)\)\)/_ = delay/' ratelimit TestLateOwnerIsAskedAgain
check H27 ratelimit/bucket.go 's/return max\(b\.minBurst, min\(/return max(b.minBurst, max(/' ratelimit TestTwoOwnersKeepTheRate
check H28 instance/instance.go 's/ && i\.rateLimits\.HasRead\(\)//' instance TestStartingInstanceKnowsTheRateLimits
check H29 quarantine/history.go 's/if crashes < int\(t\)/if true || crashes < int(t)/' instance TestCrashingRequestIsStopped
check H30 quarantine/endpoint.go 's/endpointThreshold = 3/endpointThreshold = 100/' instance TestCrashingEndpointIsStopped
check H31 instance/instance.go 's/ && i\.quarantine\.HasRead\(\)//' instance TestStartingInstanceKnowsTheQuarantine
check H32 changelog/map.go 's/m\.readWait, m\.opts/ConstantWait(mapReadWait), m.opts/' changelog TestChangeAfterAChangeIsSeenSoon
check H33 platform/hosted/backend.go 's/\tpreventResend\(request\)\n//' platform/hosted TestBrokenRequestIsSentOnce
check H34 changelog/replica.go 's/if openUntil < expected \{/if true || openUntil < expected {/' changelog 'TestNothingWrittenIsFinal|TestRefusedCommitsNeverTakeEffect'
check H35 backends/runs.go 's/return e\.Seq <= k\.Seq/return false/' platform/hosted TestHeartbeatBeforeRemovalIsIgnored
check H36 backends/runs.go 's/return e\.Seq < k\.Seq/return false/' platform/hosted TestHeartbeatBeforeDrainingIsIgnored
check H37 presence/presence.go 's/return next\.Sequence > s\.Sequence/return true/' presence TestLateHeartbeatTakesNothingBack
check H38 platform/hosted/permit.go 's/Conn: netend\.Wrap\(conn\)/Conn: conn/; s/\n\t\"github.com\/cicadasill\/cicadasill\/netend\"\n//' platform/hosted TestAnswerResetDuringAnUploadIsNotWhole
check H39 platform/hosted/access.go 's/if c\.isRefusedForGood\(\) \{/if false \&\& c.isRefusedForGood() {/' platform/hosted TestRefusedForGoodOnlyByTheNewestConfiguration
check H40 instance/config.go 's/if !i\.configNeedsRenewal\(inForce\) \{/if true || !i.configNeedsRenewal(inForce) {/' instance TestRouteMovedWhileTheStoreIsSlow
check H41 instance/instance.go 's/!i\.configMayBeReplaced\(\) && //' instance TestInstanceWithAnOldConfigurationIsNotReady
check H42 forward/stream.go 's/service, began\.Software, tried/service, "", tried/' instance TestStreamGoesOnAtItsSoftwareVersion
check H43 job/place.go 's/ && \(!r\.resumes \|\| c\.Software == r\.software\)//' job TestTextIsNotJoinedFromTwoSoftwareVersions
check H44 forward/origin.go 's/return known && current/return false \&\& known \&\& current/' forward TestStreamBegunByAnUnknownProcess
exit "$status"
