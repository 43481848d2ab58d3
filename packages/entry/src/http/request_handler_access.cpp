#include <catkintally/entry/http/request_handler.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <string>

namespace catkintally::entry
{

namespace
{

/// Retry-After of a request that was handled by an earlier table and is handled differently by the
/// newest one.
constexpr auto changed_retry_after = std::chrono::milliseconds(100);

refusal changed(const char* reason)
{
    return {.status = 503, .reason = reason, .retry_after = changed_retry_after};
}

} // namespace

refusal request_handler::refusal_of(key_error error) const
{
    return {
        .status = unauthorized_status,
        .claim = core::run_claim::not_run,
        .reason = std::string(key_error_name(error)),
        .challenge = options_.dialect.api_key_scheme};
}

void request_handler::refuse_key(pending_request& call, key_error error)
{
    const std::string reason(key_error_name(error));
    organisation_metrics_.add_refused(reason);
    const std::string id = next_request_id();
    log_event(
        runtime::event_id::request_refused, {{"request", id},
                                             {"reason", reason},
                                             {"host", call.request().host},
                                             {"path", call.request().path}});
    // The connection stays open: requests behind this one may have a valid key.
    call.reply(make_response(refusal_of(error), id));
}

std::optional<refusal>
request_handler::changed_access(const caller_request& request, const exchange_plan& plan) const
{
    const bool had_organisations = !plan.organisation_header.empty();
    if (plan.access_version == access_version_)
    {
        return std::nullopt;
    }
    if (!organisations_.requires_keys() && !had_organisations)
    {
        return std::nullopt;
    }
    const core::route_row* route = router_->find(request.host, request.path);
    const bool same_service =
        route != nullptr && std::any_of(
                                route->destinations.begin(), route->destinations.end(),
                                [&](const core::route_destination& each)
                                { return each.service == plan.request.service; });
    if (!same_service)
    {
        return changed("route_changed");
    }
    const caller_access access =
        check_access(organisations_, options_.dialect, *route, request.fields);
    if (access.error)
    {
        return refusal_of(
            access.error == key_error::unknown ? key_error::withdrawn : *access.error);
    }
    // The header fields and the quota of the attempt are those of the earlier organisation.
    const std::string name = access.organisation == nullptr ? "" : access.organisation->name;
    if (name != plan.request.organisation || organisations_.requires_keys() != had_organisations)
    {
        return changed("organisation_changed");
    }
    return std::nullopt;
}

} // namespace catkintally::entry
