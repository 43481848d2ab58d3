// Messages about targets that crash, and about the requests that crash them.
#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/entry/news/message_age.hpp>
#include <catkintally/wire/codec/make_message.hpp>

namespace catkintally::entry
{

using std::chrono::milliseconds;

namespace
{

wire::payloadUnion to_message(const core::crash_record& record, core::time_point now)
{
    wire::crash_record_data data;
    data.fingerprint = record.fingerprint;
    data.crashes = record.crashes;
    data.crashed_ago_ms = to_milliseconds(now - record.crashed_at);
    data.arrived_ago_ms = to_milliseconds(now - record.arrived_at);
    data.claimant = record.claimant;
    return wire::make_message(data);
}

wire::payloadUnion cleared_message(std::uint64_t fingerprint)
{
    wire::crash_notice_data data;
    data.fingerprint = fingerprint;
    data.cleared = true;
    return wire::make_message(std::move(data));
}

} // namespace

wire::payloadUnion gossip_node::crash_notice_message(const core::target_crash& crash) const
{
    const auto now = options_.timers->now();
    wire::crash_notice_data data;
    data.fingerprint = crash.fingerprint;
    data.target = crash.target;
    data.sent_ago_ms = to_milliseconds(now - crash.sent_at);
    data.crashed_ago_ms = to_milliseconds(now - crash.crashed_at);
    return wire::make_message(std::move(data));
}

void gossip_node::broadcast_crash(const core::target_crash& crash)
{
    network_.send_to_all(crash_notice_message(crash), {});
}

void gossip_node::broadcast_suspicion_cleared(std::uint64_t fingerprint)
{
    network_.send_to_all(cleared_message(fingerprint), {});
}

void gossip_node::handle_crash_notice(
    const core::member& from, const wire::crash_notice_data& message)
{
    if (message.cleared)
    {
        if (options_.on_suspicion_cleared(message.fingerprint))
        {
            network_.send_to_all(wire::make_message(wire::crash_notice_data(message)), from.id);
        }
        return;
    }
    const auto now = options_.timers->now();
    const core::target_crash crash{
        .fingerprint = message.fingerprint,
        .target = message.target,
        .sent_at = now - milliseconds(message.sent_ago_ms),
        .crashed_at = now - milliseconds(message.crashed_ago_ms)};
    if (crash.fingerprint != 0 && options_.on_target_crash(crash))
    {
        network_.send_to_all(crash_notice_message(crash), from.id);
    }
}

void gossip_node::broadcast_crash_record(const core::crash_record& record)
{
    network_.send_to_all(to_message(record, options_.timers->now()), {});
}

void gossip_node::handle_crash_record(
    const core::member& from, const wire::crash_record_data& message)
{
    if (!options_.on_crash_record)
    {
        return;
    }
    const auto now = options_.timers->now();
    const core::crash_record record{
        .fingerprint = message.fingerprint,
        .crashes = message.crashes,
        .crashed_at = now - milliseconds(message.crashed_ago_ms),
        .arrived_at = now - milliseconds(message.arrived_ago_ms),
        .claimant = message.claimant};
    const core::crash_record_news news = options_.on_crash_record(record);
    if (news.forward)
    {
        network_.send_to_all(to_message(record, now), from.id);
    }
    if (news.cleared)
    {
        network_.send(from.id, cleared_message(record.fingerprint));
    }
    if (news.reply)
    {
        network_.send(from.id, to_message(*news.reply, now));
    }
}

void gossip_node::send_crashes(const core::member_id& peer)
{
    const auto now = options_.timers->now();
    if (options_.crash_records)
    {
        for (const core::crash_record& record : options_.crash_records())
        {
            network_.send(peer, to_message(record, now));
        }
    }
    for (const core::target_crash& crash : options_.suspected_crashes())
    {
        network_.send(peer, crash_notice_message(crash));
    }
}

} // namespace catkintally::entry
