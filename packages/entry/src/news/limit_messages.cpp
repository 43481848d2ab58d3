#include <catkintally/entry/news/limit_messages.hpp>
#include <catkintally/entry/news/message_age.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <memory>
#include <utility>

namespace catkintally::entry
{

wire::payloadUnion to_message(std::span<const core::target_limit> limits)
{
    wire::limit_notice_data data;
    for (const core::target_limit& each : limits)
    {
        auto copy = std::make_unique<wire::target_limit_data>();
        copy->service = each.service;
        copy->target = each.target;
        copy->incarnation = each.incarnation;
        copy->version = each.version;
        copy->named = each.per_second.has_value();
        copy->per_second = each.per_second.value_or(0);
        copy->source = each.source;
        data.limits.push_back(std::move(copy));
    }
    return wire::make_message(std::move(data));
}

core::target_limit to_limit(const wire::target_limit_data& data)
{
    core::target_limit limit{
        .service = data.service,
        .target = data.target,
        .incarnation = data.incarnation,
        .version = data.version,
        .source = data.source};
    if (data.named)
    {
        limit.per_second = data.per_second;
    }
    return limit;
}

wire::payloadUnion to_message(std::span<const core::demand_report> reports)
{
    wire::demand_notice_data data;
    for (const core::demand_report& each : reports)
    {
        data.reports.emplace_back(
            each.instance, each.incarnation, each.service, each.failure_domain, each.per_second,
            each.sequence, to_milliseconds(each.age));
    }
    return wire::make_message(std::move(data));
}

} // namespace catkintally::entry
