#include <catkintally/core/fleet/fleet_node.hpp>

#include <catkintally/core/fleet/lease.hpp>
#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

/// A gap between two ticks beyond this means that the process was stopped or starved.
constexpr duration stall_limit = lease_time;

} // namespace

fleet_node::fleet_node(fleet_node_options options)
    : options_(std::move(options))
    , views_({
          .timers = options_.timers,
          .store = options_.store,
          .self = options_.self,
          .seed = options_.seed,
          .adopted = [this] { view_adopted(); },
          .event = options_.event,
      })
    , state_(*options_.timers)
    , client_({
          .timers = options_.timers,
          .state = &state_,
          .current = [this]() -> const view& { return views_.current(); },
          .self = [this] { return views_.self().id; },
          .fresh = [this] { return ready(); },
          .last_heard =
              [this](const member_id& id)
          {
              return id == views_.self().id ? std::optional(options_.timers->now())
                                            : tracker_.last_heard(id);
          },
          .send = [this](const member_id& to, wire::payloadUnion message)
          { send(to, std::move(message)); },
          .behind = [this](const member_id& peer) { pull_view(peer); },
          .answers = options_.answers,
      })
    , last_incarnation_(options_.self.id.incarnation)
    , last_tick_(options_.timers->now())
    , resumed_at_(options_.timers->now())
    , alive_(std::make_shared<fleet_node*>(this))
{
    state_.add_self(options_.self.id);
}

fleet_node::~fleet_node()
{
    options_.timers->cancel(tick_timer_);
}

void fleet_node::start()
{
    tick();
}

admission_gateway fleet_node::gateway()
{
    return {
        .ask = [this](admission_request request, std::function<void(admission_answer)> done)
        { client_.ask(std::move(request), std::move(done)); },
        .cancel = [this](request_id id) { client_.cancel(id); },
        .may_send = [this](request_id id) { return client_.may_send(id); },
        .complete =
            [this](
                const completion_report& report, const std::shared_ptr<const stored_answer>& kept)
        { client_.complete(report, kept); }};
}

// Freshness and lease. Both are evaluated at the time of use, so that the first action of a process
// that was paused already sees the gap.

bool fleet_node::stalled() const
{
    return options_.timers->now() - last_tick_ > stall_limit;
}

bool fleet_node::lease() const
{
    const time_point now = options_.timers->now();
    if (!holds_lease(views_.current(), views_.self().id, tracker_, now) || stalled())
    {
        return false;
    }
    // A sole member hears nobody, so after a stall only the store can tell that it is still alone.
    const auto heard = views_.store_heard();
    return views_.current().members.size() > 1 || (heard && *heard >= resumed_at_);
}

bool fleet_node::ready() const
{
    const time_point now = options_.timers->now();
    if (!views_.joined() || stalled())
    {
        return false;
    }
    const auto heard = views_.store_heard();
    if (heard && now - *heard < freshness_time)
    {
        return true;
    }
    return hears_majority(views_.current(), views_.self().id, tracker_, now) &&
           (views_.current().members.size() > 1 || (heard && *heard >= resumed_at_));
}

// Regular work.

void fleet_node::tick()
{
    const time_point now = options_.timers->now();
    tick_timer_ = options_.timers->schedule_after(heartbeat_interval, [this] { tick(); });
    if (stalled())
    {
        // The silence of the others is this process's own; they get time to be heard again.
        resumed_at_ = now;
        for (const member& entry : views_.current().members)
        {
            tracker_.grant_grace(entry.id, now);
        }
    }
    last_tick_ = now;
    send_heartbeats();
    check_suspects();
    check_silent_members();
    check_freshness();
    views_.tick();
    state_.expire();
    for (auto& [name, owner] : owned_)
    {
        owner->tick();
    }
    progress_stop();
}

void fleet_node::send_heartbeats()
{
    const std::uint64_t sequence = tracker_.begin_round(options_.timers->now());
    for (const member& entry : views_.current().members)
    {
        if (entry.id == views_.self().id)
        {
            continue;
        }
        wire::heartbeat_data beat;
        beat.epoch = views_.current().epoch;
        beat.table_revision = table_.revision;
        beat.sequence = sequence;
        beat.echo_sequence = tracker_.echo_for(entry.id);
        beat.stopping = stopping_;
        beat.store_reachable = views_.store_reachable();
        send(entry.id, wire::make_message(beat));
    }
}

void fleet_node::check_suspects()
{
    const view& current = views_.current();
    const time_point now = options_.timers->now();
    if (!views_.joined())
    {
        views_.suspect({});
        return;
    }
    const auto silence = [&](const member& entry)
    {
        return entry.id == views_.self().id ? duration::zero()
                                            : now - tracker_.last_heard(entry.id).value_or(now);
    };
    const auto heard = std::count_if(
        current.members.begin(), current.members.end(),
        [&](const member& entry) { return silence(entry) <= suspicion_time; });
    // Without a majority, the silence may be this side's own isolation: the others come first.
    const bool majority = static_cast<std::size_t>(heard) * 2 > current.members.size();
    const duration limit = majority ? suspicion_time : minority_suspicion_time;
    std::set<member_id> suspects;
    for (const member& entry : current.members)
    {
        if (silence(entry) > limit)
        {
            suspects.insert(entry.id);
        }
    }
    for (const member* first : rendezvous_order("view", current.members))
    {
        const bool self = first->id == views_.self().id;
        if (silence(*first) > suspicion_time ||
            !(self ? views_.store_reachable() : tracker_.reaches_store(first->id)))
        {
            continue;
        }
        if (!self)
        {
            suspects.clear();
        }
        break;
    }
    if (!suspects.empty())
    {
        std::string names;
        for (const member_id& id : suspects)
        {
            names += (names.empty() ? "" : ",") + to_text(id);
        }
        if (names != suspects_reported_)
        {
            options_.event(fleet_event::members_suspected, {{"members", names}});
        }
        suspects_reported_ = names;
    }
    views_.suspect(std::move(suspects));
}

void fleet_node::check_silent_members()
{
    // A member that does not hear this owner may use its fixed share at cold targets after a long
    // wait. Cold targets carry one request, so this owner stops using them long before that, and
    // until the silent member's work has ended.
    const view& current = views_.current();
    const time_point now = options_.timers->now();
    for (const member& entry : current.members)
    {
        if (entry.leaving || entry.id == views_.self().id)
        {
            continue;
        }
        const auto echoed = tracker_.echoed(entry.id);
        const duration silent =
            now - std::max(echoed.value_or(time_point{}), *adopted_at(current.epoch));
        if (silent <= lease_time)
        {
            continue;
        }
        for (auto& [name, owner] : owned_)
        {
            const auto config = table_.services.find(name);
            const bool long_silent = silent > freshness_time;
            owner->block_cold_until(
                now + 2 * heartbeat_interval +
                (long_silent ? milliseconds(config->second.service.deadline_ms) + silent_work_margin
                             : duration::zero()));
        }
    }
}

void fleet_node::check_freshness()
{
    const bool fresh = ready();
    if (fresh != was_fresh_)
    {
        was_fresh_ = fresh;
        options_.event(
            fresh ? fleet_event::fresh : fleet_event::not_fresh,
            {{"epoch", std::to_string(views_.current().epoch)}});
    }
}

void fleet_node::begin_stop(std::function<void()> done)
{
    stopping_ = true;
    stopped_ = std::move(done);
    stop_started_ = options_.timers->now();
    views_.leave();
}

void fleet_node::progress_stop()
{
    if (!stopping_ || !stopped_)
    {
        return;
    }
    const view& current = views_.current();
    const member* listed = current.find(views_.self().id);
    const time_point now = options_.timers->now();
    const bool overdue = now - stop_started_ >= options_.stop_limit;
    const bool last = std::none_of(
        current.members.begin(), current.members.end(),
        [&](const member& entry) { return !entry.leaving && entry.id != views_.self().id; });
    // First the role ends, then the requests, then the membership.
    const bool role_ended = listed == nullptr || listed->leaving || last || overdue;
    if (!retiring_ && role_ended && client_.idle() && (!options_.idle || options_.idle()))
    {
        // The limit bounds each wait for the store, not the time that requests take in between.
        retiring_ = true;
        stop_started_ = now;
        views_.retire();
    }
    if (retiring_ && (views_.current().find_instance(views_.self().id.instance) == nullptr ||
                      now - stop_started_ >= options_.stop_limit))
    {
        const auto done = std::exchange(stopped_, {});
        done();
    }
}

// Views, ownership and tables.

void fleet_node::set_table(const table_snapshot& table)
{
    if (table.revision < table_.revision)
    {
        return;
    }
    table_ = table;
    client_.set_table(table_);
    for (const auto& [name, config] : table_.services)
    {
        state_.set_retention(name, milliseconds(config.service.key_retention_ms));
        if (const auto owned = owned_.find(name); owned != owned_.end())
        {
            owned->second->apply(config, table_);
        }
    }
    place_services(views_.current().epoch);
    if (!stopping_)
    {
        views_.join();
    }
}

void fleet_node::probed(const completion_report& report)
{
    if (service_owner* owner = owner_of(report.service))
    {
        owner->probed(report);
    }
}

service_owner* fleet_node::owner_of(const std::string& service)
{
    const auto found = owned_.find(service);
    return found == owned_.end() ? nullptr : found->second.get();
}

fleet_node_dump fleet_node::dump() const
{
    fleet_node_dump copy{
        .self = views_.self(),
        .current = views_.current(),
        .joined = views_.joined(),
        .fresh = ready(),
        .lease = lease(),
        .stopping = stopping_,
        .table_revision = table_.revision,
        .silent_for = {},
        .client = client_.dump(),
        .owned = {}};
    const time_point now = options_.timers->now();
    for (const member& entry : views_.current().members)
    {
        if (const auto heard = tracker_.last_heard(entry.id); heard && entry.id != views_.self().id)
        {
            copy.silent_for[to_text(entry.id)] = now - *heard;
        }
    }
    for (const auto& [name, owner] : owned_)
    {
        copy.owned.push_back(owner->dump());
    }
    return copy;
}

} // namespace catkintally::core
