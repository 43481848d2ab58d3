#!/usr/bin/env bash
# Checks the Promela model: every configuration must hold in an exhaustive search, and every mutant
# (one guard removed) must fail an assertion. Options are fixed, so each run gives the same verdict.
# Runs at most 4 verifiers at a time; each is limited to 1600 MB and 150 s.
set -euo pipefail
cd "$(dirname "$0")"
out=build
rm -rf "$out"
mkdir -p "$out"

# KIND NAME MACROS...; kind: safety, acyclic (no infinite run exists), mutant.
cat >"$out/cases" <<'CASES'
safety cold_three_views COLD FIRST=0 SECOND=2 EPOCHS=3 MAXT=3 HIGHEST_OWNER
safety keys_three_epochs KEYS EPOCHS=3 ATTEMPTS=2 DEATHS=0 BY_PEER=false
safety cold_with_death COLD FIRST=0 SECOND=1 DEATH
safety keys_three_senders KEYS EPOCHS=2 ATTEMPTS=3 DEATHS=1
safety keys_two_deaths KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=2
safety progress KEYS PROGRESS EPOCHS=2 ATTEMPTS=0 DEATHS=1
acyclic progress_without_livelock KEYS PROGRESS EPOCHS=2 ATTEMPTS=0 DEATHS=1
safety cold_owner_dispatches COLD FIRST=0 SECOND=1
safety cold_members_dispatch COLD FIRST=1 SECOND=2
safety table TABLE
mutant no_suspicion KEYS PROGRESS EPOCHS=2 ATTEMPTS=0 M_NO_SUSPICION
mutant unconditional_view KEYS EPOCHS=3 ATTEMPTS=2 DEATHS=0 BY_PEER=false M_UNCONDITIONAL_VIEW
mutant unproven_completes KEYS EPOCHS=3 ATTEMPTS=2 DEATHS=0 BY_PEER=false M_UNPROVEN_COMPLETES
mutant no_incarnation KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_NO_INCARNATION
mutant reply_without_adopting KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_REPLY_WITHOUT_ADOPTING
mutant silent_is_proven KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_SILENT_IS_PROVEN
mutant evict_record KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_EVICT_RECORD
mutant no_key_check KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_NO_KEY_CHECK
mutant grant_before_witness KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_GRANT_BEFORE_WITNESS
mutant witness_accepts_old_epoch KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_WITNESS_ACCEPTS_OLD_EPOCH
mutant resend_unknown KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_RESEND_UNKNOWN
mutant remove_without_request_id KEYS EPOCHS=2 ATTEMPTS=3 DEATHS=1 M_REMOVE_WITHOUT_REQUEST_ID
mutant refuse_not_run_without_owner KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_REFUSE_NOT_RUN_WITHOUT_OWNER
mutant refuse_without_witness KEYS EPOCHS=2 ATTEMPTS=2 DEATHS=1 M_REFUSE_WITHOUT_WITNESS
mutant no_lease COLD FIRST=0 SECOND=1 M_NO_LEASE
mutant lease_from_receipt COLD FIRST=0 SECOND=1 M_LEASE_FROM_RECEIPT
mutant start_without_half COLD FIRST=0 SECOND=1 M_START_WITHOUT_HALF
mutant half_of_last_view_only COLD FIRST=0 SECOND=1 EPOCHS=3 MAXT=3 M_HALF_OF_LAST_VIEW_ONLY
mutant no_cold_wait COLD FIRST=0 SECOND=1 M_NO_COLD_WAIT
mutant ignore_limit COLD FIRST=0 SECOND=1 M_IGNORE_LIMIT
mutant no_epoch_check COLD FIRST=0 SECOND=1 M_NO_EPOCH_CHECK
mutant no_validity COLD FIRST=0 SECOND=1 M_NO_VALIDITY
mutant cold_without_owner COLD FIRST=0 SECOND=1 M_COLD_WITHOUT_OWNER
mutant late_send COLD FIRST=0 SECOND=1 M_LATE_SEND
mutant unconditional_edit TABLE M_UNCONDITIONAL_EDIT
mutant retry_without_reading TABLE M_RETRY_WITHOUT_READING
mutant adopt_older TABLE M_ADOPT_OLDER
CASES

# Runs one case and prints "KIND NAME VERDICT STATES".
check_case()
{
    local kind=$1 name=$2 mode=-DSAFETY search=-E verdict states
    shift 2
    local dir="$out/$name"
    mkdir -p "$dir"
    if [ "$kind" = acyclic ]; then
        mode=-DNP
        search="-E -l"
    fi
    (cd "$dir" && spin -a "${@/#/-D}" ../../catkintally.pml >spin.log 2>&1 &&
        cc -w -O2 $mode -DNOFAIR -DCOLLAPSE -DMEMLIM=1600 -o pan pan.c >cc.log 2>&1 &&
        timeout 150 ./pan -m100000 $search >pan.log 2>&1) || true
    states=$(grep -oE '[0-9]+ states, stored' "$dir/pan.log" 2>/dev/null | grep -oE '[0-9]+' | head -1 || true)
    verdict=incomplete
    if grep -qE 'assertion violated|non-progress cycle \(' "$dir/pan.log" 2>/dev/null; then
        verdict=fails
    elif grep -q 'errors: 0' "$dir/pan.log" 2>/dev/null &&
        ! grep -qE 'Search not completed|max search depth|reached -DMEMLIM' "$dir/pan.log"; then
        verdict=holds
    fi
    rm -f "$dir"/pan*.[cbhmtp] "$dir/pan"
    echo "$kind $name $verdict ${states:-0}"
}
export -f check_case
export out

xargs -a "$out/cases" -d '\n' -P 4 -I{} bash -c 'check_case {}' | tee "$out/results"

states=$(awk '$1 != "mutant" { sum += $4 } END { print sum + 0 }' "$out/results")
errors=$(awk '$1 != "mutant" && $3 != "holds" { n++ } END { print n + 0 }' "$out/results")
caught=$(awk '$1 == "mutant" && $3 == "fails" { n++ } END { print n + 0 }' "$out/results")
mutants=$(grep -c '^mutant ' "$out/cases")
checked=$(wc -l <"$out/results")
[ "$checked" -eq "$(wc -l <"$out/cases")" ] || errors=$((errors + 1))
echo "model: states=$states errors=$errors mutants_caught=$caught/$mutants"
[ "$errors" -eq 0 ] && [ "$caught" -eq "$mutants" ]
