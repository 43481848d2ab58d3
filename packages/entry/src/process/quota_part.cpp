#include <catkintally/entry/news/quota_messages.hpp>
#include <catkintally/entry/process/process_parts.hpp>
#include <catkintally/entry/process/quota_part.hpp>

#include <utility>
#include <vector>

namespace catkintally::entry
{

namespace
{

boost::json::value to_json(const std::vector<core::organisation_quota_dump>& quotas)
{
    boost::json::array dumped;
    for (const core::organisation_quota_dump& each : quotas)
    {
        dumped.push_back(boost::json::object{
            {"organisation", each.organisation},
            {"rate_per_s", each.per_second},
            {"burst", each.burst},
            {"share_per_s", each.share.per_second},
            {"share_burst", each.share.burst},
            {"holders", each.share.holders},
            {"tokens", each.tokens},
            {"demand_per_s", each.demand},
            {"reported_demand_per_s", each.reported_demand},
            {"admitted", each.admitted},
            {"refused", each.refused}});
    }
    return dumped;
}

} // namespace

quota_part::quota_part(quota_part_options options)
    : options_(std::move(options))
    , quota_(quota_options())
{
}

core::organisation_quota_options quota_part::quota_options() const
{
    core::organisation_quota_options made;
    made.timers = options_.timers;
    made.self = options_.self;
    made.incarnation = random_number();
    made.seed = random_number();
    made.window = {
        .length = std::chrono::milliseconds(options_.limits.quota_window_ms),
        .overshoot = options_.limits.quota_overshoot,
        .tolerance = options_.limits.quota_tolerance};
    made.in_contact = options_.in_contact;
    made.send_demand = [this](const std::vector<core::demand_report>& reports)
    {
        if (gossip_node* news = options_.news())
        {
            for (const wire::payloadUnion& message : to_quota_messages(reports))
            {
                news->broadcast(message);
            }
        }
    };
    made.neighbours = [this]
    {
        std::vector<std::string> names;
        if (const gossip_node* news = options_.news())
        {
            for (const core::member_id& each : news->neighbours())
            {
                names.push_back(core::to_text(each));
            }
        }
        return names;
    };
    made.send_tokens = [this](const std::string& neighbour, const core::token_message& message)
    { send_tokens(neighbour, message); };
    return made;
}

void quota_part::send_tokens(const std::string& neighbour, const core::token_message& message) const
{
    gossip_node* news = options_.news();
    if (news == nullptr)
    {
        return;
    }
    for (const core::member_id& each : news->neighbours())
    {
        if (core::to_text(each) == neighbour)
        {
            news->send(each, to_message(message));
            return;
        }
    }
}

quota_hooks quota_part::hooks()
{
    quota_hooks hooks;
    hooks.take = [this](
                     const std::string& organisation, core::duration longest_wait,
                     const std::function<void(const core::quota_decision&)>& done)
    { quota_.request(organisation, longest_wait, done); };
    hooks.refund = [this](const std::string& organisation) { quota_.refund(organisation); };
    hooks.ended = [this](const std::string& organisation, const exchange_summary& summary)
    {
        if (!summary.executed)
        {
            quota_.refund(organisation);
        }
    };
    return hooks;
}

void quota_part::receive(const core::member& from, const wire::payloadUnion& message)
{
    switch (message.type)
    {
    case wire::payload::quota_notice:
        quota_.merge_demand(to_reports(*message.Asquota_notice()), core::to_text(from.id));
        break;
    case wire::payload::quota_token:
        quota_.receive(to_token_message(*message.Asquota_token()), core::to_text(from.id));
        break;
    default:
        break;
    }
}

void quota_part::on_linked(const core::member_id& peer)
{
    for (const wire::payloadUnion& message : to_quota_messages(quota_.demand_reports()))
    {
        options_.news()->send(peer, message);
    }
}

void quota_part::add_to(instance& shown)
{
    runtime::metrics_registry& metrics = shown.metrics();
    const auto gauge = [&metrics](const std::string& name, std::function<double()> value)
    { metrics.gauge(name, {}, std::move(value)); };
    gauge("catkintally_quotas", [this] { return static_cast<double>(quota_.quotas()); });
    gauge("catkintally_quota_refusals", [this] { return static_cast<double>(quota_.refused()); });
    gauge(
        "catkintally_quota_demand_reports",
        [this] { return static_cast<double>(quota_.known_reports()); });
    gauge(
        "catkintally_quota_tokens_borrowed",
        [this] { return static_cast<double>(quota_.lending().borrowed()); });
    gauge(
        "catkintally_quota_tokens_lent",
        [this] { return static_cast<double>(quota_.lending().lent()); });
    shown.admin().add_section("quotas", [this] { return to_json(quota_.dump()); });
}

} // namespace catkintally::entry
