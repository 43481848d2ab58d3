#include <catkintally/core/fleet/admission_client.hpp>

#include <catkintally/core/fleet/fixed_share.hpp>
#include <catkintally/core/fleet/lease.hpp>
#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/fleet/service_owner.hpp>

#include <algorithm>

namespace catkintally::core
{

using std::chrono::milliseconds;

duration admission_client::without_owner(const std::string& service) const
{
    const time_point now = options_.timers->now();
    const member* owner = place_service(service, options_.current().members).owner;
    duration missing{};
    if (owner == nullptr)
    {
        missing = now - view_changed_at_;
    }
    else
    {
        const auto heard = options_.last_heard(owner->id);
        missing = now - std::max(heard.value_or(view_changed_at_), view_changed_at_);
        const auto known = services_.find(service);
        // An owner that has its lease again may let a request wait without a reply.
        if (known != services_.end() && known->second.no_lease_since &&
            now - known->second.no_lease_last <= 2 * owner_reply_limit)
        {
            missing = std::max(missing, now - *known->second.no_lease_since);
        }
    }
    return missing;
}

bool admission_client::try_fixed_share(entry& asking)
{
    const admission_request& request = asking.request;
    const duration missing = without_owner(request.service);
    if (!request.idempotent || !request.key.empty() || missing < owner_missing_limit)
    {
        return false;
    }
    const time_point now = options_.timers->now();
    const service_config* config = find_service(request.service);
    if (config == nullptr)
    {
        return false;
    }
    service_entry& service = services_[request.service];
    // An owner that lost contact may have granted a cold target's only place shortly before; the
    // freshness time keeps an isolated instance from ever reaching this case.
    const duration longest_work =
        milliseconds(config->service.deadline_ms) + silent_work_margin + freshness_time;
    const target_row* chosen = choose_fixed_share(
        {.current = &options_.current(),
         .self = options_.self(),
         .table = table_,
         .service = config,
         .assumed_warm =
             [&](const std::string& target)
         {
             const auto known = service.warm_until.find(target);
             return known != service.warm_until.end() && now < known->second;
         },
         .in_use =
             [&](const std::string& target)
         {
             return static_cast<std::uint32_t>(std::count_if(
                 entries_.begin(), entries_.end(),
                 [&](const auto& item)
                 {
                     const entry& used = item.second;
                     return used.request.service == request.service && used.target == target &&
                            used.at >= phase::granted;
                 }));
         },
         .cold_allowed = missing >= longest_work,
         .excluded = request.excluded_targets});
    if (chosen == nullptr)
    {
        return false;
    }
    if (asking.asked)
    {
        send_cancel(*asking.asked, request.id, request.service);
    }
    grant(asking, chosen->name, now + grant_validity, true);
    return true;
}

run_claim admission_client::claim_without_owner(const admission_request& request) const
{
    return request.key.empty() && !request.retry ? run_claim::not_run : run_claim::attempt_not_run;
}

} // namespace catkintally::core
