#include <catkintally/entry/process/fleet_dump.hpp>

namespace catkintally::entry
{

namespace
{

namespace json = boost::json;

std::int64_t milliseconds_of(core::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json::object to_json(const core::member& member)
{
    return {
        {"id", core::to_text(member.id)},
        {"failure_domain", member.failure_domain},
        {"peer_address", member.peer_address},
        {"state", member.leaving ? "leaving" : "active"}};
}

json::object to_json(const core::target_dump& target)
{
    return {
        {"name", target.name},
        {"failure_domain", target.failure_domain},
        {"phase", wire::EnumNametarget_phase(target.phase)},
        {"limit", target.limit},
        {"in_flight", target.in_flight},
        {"available", target.available},
        {"reports_draining", target.reports_draining},
        {"consecutive_failures", target.consecutive_failures}};
}

json::object decisions_of(const core::service_admission_dump& admission)
{
    json::object decisions;
    for (std::size_t code = 0; code < admission.decisions.size(); ++code)
    {
        if (admission.decisions[code] > 0)
        {
            decisions[wire::EnumNamedecision_code(static_cast<wire::decision_code>(code))] =
                admission.decisions[code];
        }
    }
    return decisions;
}

} // namespace

json::value to_json(const core::service_owner_dump& dump)
{
    const core::service_admission_dump& admission = dump.admission;
    json::array targets;
    for (const core::target_dump& target : admission.targets)
    {
        targets.push_back(to_json(target));
    }
    return json::object{
        {"service", dump.service},
        {"recovered", dump.recovered},
        {"proven", dump.proven},
        {"complete", dump.complete},
        {"idempotency_records", dump.records},
        {"waiting_for_recovery", dump.waiting},
        {"queued", admission.queued_front},
        {"queued_archive", admission.queued_archive},
        {"decisions", decisions_of(admission)},
        {"retry_tokens", admission.retry_tokens},
        {"probes_sent", admission.probes_sent},
        {"probes_delayed", admission.probes_delayed},
        {"ejections", admission.ejections},
        {"ejections_prevented", admission.ejections_prevented},
        {"places_expired", admission.places_expired},
        {"crashing_requests", admission.crashing_requests},
        {"typical_time_us", admission.typical_time_us},
        {"targets", std::move(targets)}};
}

json::value to_json(const core::fleet_node_dump& dump)
{
    json::array members;
    for (const core::member& member : dump.current.members)
    {
        json::object entry = to_json(member);
        const auto silent = dump.silent_for.find(core::to_text(member.id));
        if (silent != dump.silent_for.end())
        {
            entry["silent_for_ms"] = milliseconds_of(silent->second);
        }
        members.push_back(std::move(entry));
    }
    json::array owned;
    for (const core::service_owner_dump& service : dump.owned)
    {
        owned.push_back(to_json(service));
    }
    return json::object{
        {"self", to_json(dump.self)},
        {"epoch", dump.current.epoch},
        {"joined", dump.joined},
        {"fresh", dump.fresh},
        {"lease", dump.lease},
        {"stopping", dump.stopping},
        {"members", std::move(members)},
        {"requests",
         json::object{
             {"asking", dump.client.asking},
             {"granted", dump.client.granted},
             {"dispatched", dump.client.dispatched},
             {"fixed_share", dump.client.fixed_share},
             {"stored_answer_bytes", dump.client.answer_bytes}}},
        {"owned", std::move(owned)}};
}

} // namespace catkintally::entry
