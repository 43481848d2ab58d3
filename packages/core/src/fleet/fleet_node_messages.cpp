// Message handling of fleet_node.
#include <catkintally/core/fleet/fleet_node.hpp>

#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/fleet/view_codec.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <utility>

namespace catkintally::core
{

namespace
{

/// Bound of the recover_requests that wait for the adoption of their epoch.
constexpr std::size_t most_waiting_recoveries = 10'000;

} // namespace

void fleet_node::send(const member_id& to, wire::payloadUnion message)
{
    if (to != views_.self().id)
    {
        options_.send(to, std::move(message));
        return;
    }
    // Own messages take the same path as those of other members, and never arrive inline.
    auto shared = std::make_shared<wire::payloadUnion>(std::move(message));
    options_.timers->schedule_after(
        duration::zero(),
        [weak = std::weak_ptr(alive_), to, shared]
        {
            const auto alive = weak.lock();
            if (alive && to == (*alive)->views_.self().id)
            {
                (*alive)->deliver((*alive)->views_.self(), *shared);
            }
        });
}

void fleet_node::receive(const member& peer, const wire::payloadUnion& message)
{
    if (peer.id != views_.self().id)
    {
        deliver(peer, message);
    }
}

void fleet_node::deliver(const member& peer, const wire::payloadUnion& message)
{
    switch (message.type)
    {
    case wire::payload::heartbeat:
        on_heartbeat(peer, *message.Asheartbeat());
        break;
    case wire::payload::grant_request:
        on_grant_request(peer, *message.Asgrant_request());
        break;
    case wire::payload::grant_reply:
        client_.on_grant_reply(peer.id, *message.Asgrant_reply());
        break;
    case wire::payload::grant_cancel:
        if (service_owner* owner = owner_of(message.Asgrant_cancel()->service))
        {
            owner->on_cancel(peer.id, message.Asgrant_cancel()->request_id);
        }
        break;
    case wire::payload::completion:
        if (service_owner* owner = owner_of(message.Ascompletion()->service))
        {
            owner->on_completion(*message.Ascompletion());
        }
        break;
    case wire::payload::witness_put:
        on_witness_put(peer, *message.Aswitness_put());
        break;
    case wire::payload::witness_ack:
        if (service_owner* owner = owner_of(message.Aswitness_ack()->service))
        {
            owner->on_witness_ack(peer.id, *message.Aswitness_ack());
        }
        break;
    case wire::payload::recover_request:
        on_recover_request(peer.id, *message.Asrecover_request());
        break;
    case wire::payload::recover_reply:
        if (service_owner* owner = owner_of(message.Asrecover_reply()->service))
        {
            owner->on_recover_reply(peer.id, *message.Asrecover_reply());
        }
        break;
    case wire::payload::view_pull:
        on_view_pull(peer, *message.Asview_pull());
        break;
    case wire::payload::view_push:
        views_.offer(message.Asview_push()->view_json);
        break;
    case wire::payload::table_pull:
        on_table_pull(peer, *message.Astable_pull());
        break;
    case wire::payload::table_push:
        on_table_push(*message.Astable_push());
        break;
    case wire::payload::answer_fetch:
        client_.on_answer_fetch(peer.id, *message.Asanswer_fetch());
        break;
    case wire::payload::answer_reply:
        client_.on_answer_reply(peer.id, *message.Asanswer_reply());
        break;
    case wire::payload::hello:
    case wire::payload::news_update:
    case wire::payload::news_pull:
    case wire::payload::reader_word:
    case wire::payload::crash_notice:
    case wire::payload::census:
    case wire::payload::limit_notice:
    case wire::payload::demand_notice:
    case wire::payload::crash_record:
    case wire::payload::quota_notice:
    case wire::payload::quota_token:
    case wire::payload::peer_sample:
    case wire::payload::NONE:
        // Of links, and of instances that pass on news; not of this node.
        break;
    }
}

void fleet_node::linked(const member_id& peer)
{
    pull_view(peer);
    wire::table_pull_data pull;
    pull.revision = table_.revision;
    send(peer, wire::make_message(pull));
}

void fleet_node::pull_view(const member_id& from)
{
    wire::view_pull_data pull;
    pull.epoch = views_.current().epoch;
    send(from, wire::make_message(pull));
}

void fleet_node::on_heartbeat(const member& peer, const wire::heartbeat_data& beat)
{
    if (views_.current().find(peer.id) != nullptr)
    {
        tracker_.received(peer.id, beat, options_.timers->now());
    }
    if (beat.epoch > views_.current().epoch)
    {
        pull_view(peer.id);
    }
    if (beat.table_revision > table_.revision)
    {
        wire::table_pull_data pull;
        pull.revision = table_.revision;
        send(peer.id, wire::make_message(pull));
    }
}

void fleet_node::on_grant_request(const member& peer, const wire::grant_request_data& data)
{
    const view& current = views_.current();
    service_owner* owner = owner_of(data.service);
    if (data.epoch == current.epoch && owner != nullptr && current.find(peer.id) != nullptr)
    {
        owner->on_request(peer.id, peer.failure_domain, data);
        return;
    }
    if (data.epoch > current.epoch)
    {
        pull_view(peer.id);
    }
    wire::grant_reply_data reply;
    reply.request_id = data.request_id;
    reply.epoch = current.epoch;
    reply.service = data.service;
    reply.code = owner == nullptr ? decision_code::moved : decision_code::no_lease;
    send(peer.id, wire::make_message(std::move(reply)));
}

void fleet_node::on_witness_put(const member& peer, const wire::witness_put_data& put)
{
    const view& current = views_.current();
    const placement placed = place_service(put.service, current.members);
    const bool role = placed.owner != nullptr && placed.witness != nullptr &&
                      placed.owner->id == peer.id && placed.witness->id == views_.self().id;
    wire::witness_ack_data ack;
    ack.sequence = put.sequence;
    ack.epoch = put.epoch;
    ack.service = put.service;
    // A put of another epoch is refused: after a recover_reply, nothing may be added to it.
    ack.accepted = role && put.epoch == current.epoch && state_.apply(put);
    if (put.epoch > current.epoch)
    {
        pull_view(peer.id);
    }
    send(peer.id, wire::make_message(std::move(ack)));
}

void fleet_node::on_recover_request(
    const member_id& from, const wire::recover_request_data& request)
{
    const std::uint64_t epoch = views_.current().epoch;
    if (request.epoch > epoch)
    {
        // The answer must not be given before the epoch is adopted. A request that finds no room is
        // repeated by its sender.
        if (waiting_recoveries_.size() < most_waiting_recoveries)
        {
            waiting_recoveries_.push_back(
                {.from = from, .epoch = request.epoch, .service = request.service});
        }
        pull_view(from);
        return;
    }
    if (request.epoch < epoch)
    {
        wire::view_push_data push;
        push.version = epoch;
        push.view_json = encode_view(views_.current());
        send(from, wire::make_message(std::move(push)));
        return;
    }
    reply_to_recovery(from, request.service);
}

void fleet_node::reply_to_recovery(const member_id& to, const std::string& service)
{
    wire::recover_reply_data reply =
        state_.recover_reply(service, views_.current().epoch, views_.self().id);
    client_.add_grants_in_flight(service, reply);
    send(to, wire::make_message(std::move(reply)));
}

void fleet_node::on_view_pull(const member& peer, const wire::view_pull_data& pull)
{
    if (pull.epoch < views_.current().epoch)
    {
        wire::view_push_data push;
        push.version = views_.current().epoch;
        push.view_json = encode_view(views_.current());
        send(peer.id, wire::make_message(std::move(push)));
    }
}

void fleet_node::on_table_pull(const member& peer, const wire::table_pull_data& pull)
{
    if (pull.revision >= table_.revision || !options_.table_objects)
    {
        return;
    }
    wire::table_push_data push;
    push.revision = table_.revision;
    for (wire::table_object_data& object : options_.table_objects())
    {
        push.objects.push_back(std::make_unique<wire::table_object_data>(std::move(object)));
    }
    send(peer.id, wire::make_message(std::move(push)));
}

void fleet_node::on_table_push(const wire::table_push_data& push)
{
    if (push.revision <= table_.revision || !options_.offer_table)
    {
        return;
    }
    std::vector<wire::table_object_data> objects;
    objects.reserve(push.objects.size());
    for (const auto& object : push.objects)
    {
        objects.push_back(*object);
    }
    options_.offer_table(push.revision, std::move(objects));
}

} // namespace catkintally::core
