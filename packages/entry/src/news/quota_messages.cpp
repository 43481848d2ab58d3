#include <catkintally/entry/news/quota_messages.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <utility>

namespace catkintally::entry
{

namespace
{

using std::chrono::milliseconds;

/// Demand of an instance that leaves.
constexpr double leaving_demand = -1;

/// The code is proportional to log2(1 + rate / least_rate).
constexpr double least_rate = 0.01;
constexpr double codes_per_doubling = 2048;

/// Entries in one message, about 16 KB.
constexpr std::size_t max_entries = 2048;

std::uint32_t to_milliseconds(core::duration time)
{
    const auto whole = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(whole, 0));
}

/// True if the report can be the next entry after those in `data`.
bool continues(const wire::quota_report_data& data, const core::demand_report& report)
{
    return data.instance == report.instance && data.incarnation == report.incarnation &&
           data.sequence + data.organisations.size() == report.sequence &&
           data.age_ms == to_milliseconds(report.age);
}

} // namespace

std::uint16_t encode_rate(double per_second)
{
    if (per_second < 0)
    {
        return 0;
    }
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    const double code = 1 + codes_per_doubling * std::log2(1 + per_second / least_rate);
    return static_cast<std::uint16_t>(std::lround(std::min(code, largest)));
}

double decode_rate(std::uint16_t code)
{
    return code == 0 ? leaving_demand
                     : least_rate * (std::exp2((code - 1) / codes_per_doubling) - 1);
}

std::vector<wire::payloadUnion> to_quota_messages(const std::vector<core::demand_report>& reports)
{
    std::vector<wire::payloadUnion> messages;
    wire::quota_notice_data data;
    std::size_t entries = 0;
    const auto finish = [&]
    {
        if (!data.reports.empty())
        {
            messages.push_back(wire::make_message(std::exchange(data, {})));
            entries = 0;
        }
    };
    for (const core::demand_report& each : reports)
    {
        if (entries == max_entries)
        {
            finish();
        }
        if (data.reports.empty() || !continues(*data.reports.back(), each))
        {
            auto head = std::make_unique<wire::quota_report_data>();
            head->instance = each.instance;
            head->incarnation = each.incarnation;
            head->sequence = each.sequence;
            head->age_ms = to_milliseconds(each.age);
            data.reports.push_back(std::move(head));
        }
        data.reports.back()->organisations.push_back(static_cast<std::uint32_t>(each.service));
        data.reports.back()->rates.push_back(encode_rate(each.per_second));
        ++entries;
    }
    finish();
    return messages;
}

std::vector<core::demand_report> to_reports(const wire::quota_notice_data& message)
{
    std::vector<core::demand_report> reports;
    for (const auto& head : message.reports)
    {
        const std::size_t count = std::min(head->organisations.size(), head->rates.size());
        for (std::size_t index = 0; index < count; ++index)
        {
            reports.push_back(
                {.instance = head->instance,
                 .incarnation = head->incarnation,
                 .service = head->organisations[index],
                 .sequence = head->sequence + static_cast<std::uint32_t>(index),
                 .per_second = decode_rate(head->rates[index]),
                 .age = milliseconds(head->age_ms)});
        }
    }
    return reports;
}

wire::payloadUnion to_message(const core::token_message& message)
{
    wire::quota_token_data data;
    data.kind = static_cast<wire::quota_token_kind>(message.kind);
    data.organisation = message.organisation;
    data.id = message.id;
    data.holder = message.holder;
    data.hops = message.hops;
    data.tokens = message.tokens;
    return wire::make_message(data);
}

core::token_message to_token_message(const wire::quota_token_data& data)
{
    return {
        .kind = static_cast<core::token_message_kind>(data.kind),
        .organisation = data.organisation,
        .id = data.id,
        .holder = data.holder,
        .hops = data.hops,
        .tokens = data.tokens};
}

} // namespace catkintally::entry
