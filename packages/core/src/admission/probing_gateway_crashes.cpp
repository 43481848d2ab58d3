// Admission of requests that have crashed targets.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <algorithm>

namespace catkintally::core
{

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
            const bool cleared = !crashes_.refused().contains(fingerprint);
            if (cleared || crashes_.refused().has_claim(fingerprint))
            {
                start_probe_round(id);
                return;
            }
            refuse_crashing(id);
        });
}

} // namespace catkintally::core
