#include <catkintally/core/fleet/view_manager.hpp>

#include <catkintally/core/fleet/view_codec.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

constexpr duration first_back_off = milliseconds(100);
constexpr duration longest_back_off = milliseconds(1000);

} // namespace

view_manager::view_manager(view_manager_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , alive_(std::make_shared<view_manager*>(this))
{
}

view_manager::~view_manager() = default;

void view_manager::join()
{
    if (goal_ == goal::observe)
    {
        goal_ = goal::active;
        tick();
    }
}

void view_manager::leave()
{
    goal_ = goal::leaving;
    tick();
}

void view_manager::retire()
{
    goal_ = goal::gone;
    tick();
}

void view_manager::suspect(std::set<member_id> suspects)
{
    suspects_ = std::move(suspects);
}

bool view_manager::offer(const std::string& view_json)
{
    const auto offered = decode_view(view_json);
    if (!offered)
    {
        options_.event(fleet_event::view_invalid, {{"source", "peer"}});
        return false;
    }
    if (offered->epoch > current_.epoch)
    {
        adopt(*offered);
    }
    return true;
}

void view_manager::tick()
{
    const bool due = read_due_ || wanted_change(current_).has_value();
    const time_point now = options_.timers->now();
    const bool poll = !store_heard_ || now - *store_heard_ >= options_.poll_interval;
    if (!busy_ && now >= not_before_ && (due || poll))
    {
        read();
    }
}

bool view_manager::has_active_peer(const view& base) const
{
    return std::any_of(
        base.members.begin(), base.members.end(),
        [&](const member& entry) { return !entry.leaving && entry.id != options_.self.id; });
}

std::optional<std::vector<member>> view_manager::wanted_change(const view& base) const
{
    std::vector<member> members = base.members;
    const member* listed = base.find(options_.self.id);
    const auto drop = [&](const auto& unwanted)
    { members.erase(std::remove_if(members.begin(), members.end(), unwanted), members.end()); };

    // Only a member may remove others: a removed process may suspect everybody.
    if (listed != nullptr && base.epoch == current_.epoch)
    {
        drop([&](const member& entry)
             { return entry.id != options_.self.id && suspects_.contains(entry.id); });
    }
    switch (goal_)
    {
    case goal::observe:
        break;
    case goal::active:
        if (listed == nullptr)
        {
            // An entry with this name or address can only be an earlier run of this instance.
            drop(
                [&](const member& entry)
                {
                    return entry.id.instance == options_.self.id.instance ||
                           entry.peer_address == options_.self.peer_address;
                });
            members.push_back(options_.self);
        }
        break;
    case goal::leaving:
        // The last active member keeps its role, because nobody could take it over.
        if (listed != nullptr && !listed->leaving && has_active_peer(base))
        {
            std::find_if(
                members.begin(), members.end(),
                [&](const member& entry) { return entry.id == options_.self.id; })
                ->leaving = true;
        }
        break;
    case goal::gone:
        drop([&](const member& entry) { return entry.id.instance == options_.self.id.instance; });
        break;
    }
    return members == base.members ? std::nullopt : std::optional(std::move(members));
}

void view_manager::read()
{
    busy_ = true;
    read_due_ = false;
    const time_point started = options_.timers->now();
    options_.store->get(
        options_.key,
        [weak = std::weak_ptr(alive_), started](const store_result& result)
        {
            if (const auto alive = weak.lock())
            {
                (*alive)->on_read(result, started);
            }
        });
}

void view_manager::on_read(const store_result& result, time_point started)
{
    busy_ = false;
    note_answer(result.status, started);
    if (result.status != store_status::ok && result.status != store_status::not_found)
    {
        retry_after_failure();
        return;
    }
    // A deleted or older object does not take the epoch back: the newest known view is the base.
    view base = current_;
    if (result.status == store_status::ok)
    {
        const auto stored = decode_view(result.value);
        if (!stored)
        {
            options_.event(fleet_event::view_invalid, {{"source", "store"}});
            retry_after_failure();
            return;
        }
        if (stored->epoch > current_.epoch)
        {
            adopt(*stored);
            base = current_;
        }
    }
    if (busy_)
    {
        return;
    }
    if (auto members = wanted_change(base))
    {
        write(base, std::move(*members), result.status == store_status::ok ? result.version : 0);
        return;
    }
    back_off_ = {};
}

void view_manager::write(const view& base, std::vector<member> members, std::uint64_t version)
{
    busy_ = true;
    const time_point started = options_.timers->now();
    view next = base.successor(std::move(members));
    const std::string text = encode_view(next);
    options_.store->put(
        options_.key, text, version,
        [weak = std::weak_ptr(alive_), next = std::move(next), started](const store_result& result)
        {
            if (const auto alive = weak.lock())
            {
                (*alive)->on_written(next, result, started);
            }
        });
}

void view_manager::on_written(const view& next, const store_result& result, time_point started)
{
    busy_ = false;
    note_answer(result.status, started);
    switch (result.status)
    {
    case store_status::ok:
        back_off_ = {};
        if (next.epoch > current_.epoch)
        {
            adopt(next);
        }
        return;
    case store_status::conflict:
        // Another instance was first. Its view may already contain what is wanted here. The short
        // random pause keeps instances that race from colliding again.
        read_due_ = true;
        not_before_ = options_.timers->now() + duration(random_() % 20'000);
        return;
    case store_status::unknown:
    case store_status::not_found:
    case store_status::unavailable:
        // The update may have taken effect: reading the view back tells, because each wanted change
        // is recognised in the members.
        read_due_ = true;
        retry_after_failure();
        return;
    }
}

void view_manager::note_answer(store_status status, time_point started)
{
    store_reachable_ = status != store_status::unavailable && status != store_status::unknown;
    if (store_reachable_)
    {
        store_heard_ = std::max(store_heard_.value_or(started), started);
    }
}

void view_manager::retry_after_failure()
{
    back_off_ = std::clamp(back_off_ * 2, first_back_off, longest_back_off);
    const auto jitter = static_cast<duration::rep>(
        random_() % static_cast<std::uint64_t>(back_off_.count() / 2 + 1));
    not_before_ = options_.timers->now() + back_off_ + duration(jitter);
}

void view_manager::adopt(const view& newer)
{
    current_ = newer;
    if (joined())
    {
        was_member_ = true;
    }
    else if (was_member_ && goal_ == goal::active)
    {
        // Others count this incarnation as silent and may have rebuilt its services without it.
        options_.event(
            fleet_event::rejoining,
            {{"epoch", std::to_string(current_.epoch)},
             {"incarnation", std::to_string(options_.self.id.incarnation)}});
        options_.self.id.incarnation = random_() | 1U;
        was_member_ = false;
    }
    options_.adopted();
}

} // namespace catkintally::core
