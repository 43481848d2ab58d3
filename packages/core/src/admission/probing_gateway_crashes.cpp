// Admission of requests that have crashed targets.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Crashes in a row from which on a request has a record in the store. Most requests that were at a
/// target when it crashed have one crash and are answered when they come again.
constexpr std::uint32_t first_recorded_crashes = 2;

} // namespace

void probing_gateway::refuse_crashing(request_id id)
{
    const std::uint64_t fingerprint = pending_admissions_.at(id).request.fingerprint;
    finish(
        id, decision_code::refused_crashing_request, nullptr,
        crashes_.refused().quiet_time(fingerprint));
}

void probing_gateway::check_for_crashes(request_id id)
{
    pending_admission& admission = pending_admissions_.at(id);
    const std::uint64_t fingerprint = admission.request.fingerprint;
    const auto arrival = crashes_.refused().note_arrival(fingerprint, admission.submitted_at);
    if (arrival.announcement && options_.announce_crash_record)
    {
        options_.announce_crash_record(*arrival.announcement);
    }
    switch (arrival.verdict)
    {
    case crash_verdict::admitted:
        start_probe_round(id);
        return;
    case crash_verdict::refused:
        refuse_crashing(id);
        return;
    case crash_verdict::claimed:
        break;
    }
    // The attempt is the only one in the fleet, so other instances must have time to object.
    constexpr duration wait = crash_records::claim_time;
    admission.probe_until += wait;
    admission.request.objective_left =
        std::max(admission.request.objective_left - wait, duration::zero());
    admission.timer = options_.timers->schedule_after(
        wait,
        [this, id, fingerprint]
        {
            pending_admissions_.at(id).timer = 0;
            if (!crashes_.refused().contains(fingerprint))
            {
                start_probe_round(id);
                return;
            }
            if (!crashes_.refused().has_claim(fingerprint))
            {
                refuse_crashing(id);
                return;
            }
            reserve_attempt(id);
        });
}

void probing_gateway::reserve_attempt(request_id id)
{
    if (!options_.reserve_crash_attempt)
    {
        start_probe_round(id);
        return;
    }
    // The attempt is recorded before it is made, so that no restart makes it forgotten.
    const pending_admission& admission = pending_admissions_.at(id);
    const std::uint64_t fingerprint = admission.request.fingerprint;
    options_.reserve_crash_attempt(
        fingerprint, crashes_.refused().find(fingerprint)->crashes + 1,
        [this, id, fingerprint, submitted_at = admission.submitted_at,
         asked_at = options_.timers->now(), alive = std::weak_ptr(alive_)](bool reserved)
        {
            if (alive.expired())
            {
                return;
            }
            const auto found = pending_admissions_.find(id);
            if (found == pending_admissions_.end() || found->second.submitted_at != submitted_at)
            {
                return;
            }
            found->second.probe_until += options_.timers->now() - asked_at;
            if (reserved || !crashes_.refused().contains(fingerprint))
            {
                start_probe_round(id);
                return;
            }
            refuse_crashing(id);
        });
}

void probing_gateway::save_crashes(std::uint64_t fingerprint)
{
    const auto refused = crashes_.refused().find(fingerprint);
    const std::uint32_t crashes = refused ? refused->crashes : crashes_.crashes_in_row(fingerprint);
    if (!options_.save_crash_record || crashes < first_recorded_crashes)
    {
        return;
    }
    options_.save_crash_record(
        fingerprint, crashes,
        [this, fingerprint, alive = std::weak_ptr(alive_)](bool saved)
        {
            if (saved || alive.expired())
            {
                return;
            }
            // A further crash could not be recorded either.
            const auto record = crashes_.refuse(fingerprint);
            if (record && options_.announce_crash_record)
            {
                options_.announce_crash_record(*record);
            }
        });
}

bool probing_gateway::restore_crash_record(std::uint64_t fingerprint, std::uint32_t crashes)
{
    if (crashes_.is_cleared(fingerprint))
    {
        return false;
    }
    // A request that is known to be suspected is not refused yet.
    const bool suspected = crashes_.crashes_in_row(fingerprint) >= crashes;
    if (!suspected && crashes_.refused().restore(fingerprint, crashes, options_.timers->now()) &&
        options_.announce_crash_record)
    {
        options_.announce_crash_record(*crashes_.refused().find(fingerprint));
    }
    return true;
}

void probing_gateway::clear_suspicion(std::uint64_t fingerprint)
{
    const bool recorded = crashes_.refused().contains(fingerprint) ||
                          crashes_.crashes_in_row(fingerprint) >= first_recorded_crashes;
    if (!note_answered(fingerprint))
    {
        return;
    }
    if (options_.cleared)
    {
        options_.cleared(fingerprint);
    }
    if (recorded && options_.remove_crash_record)
    {
        options_.remove_crash_record(fingerprint);
    }
}

} // namespace catkintally::core
