#include <catkintally/entry/table/target_registry.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace catkintally::entry
{

using runtime::event_id;
using runtime::log_event;

namespace
{

/// How long the start and sequence numbers of a removed target are kept. A late write of its last
/// state arrives within seconds.
constexpr auto removed_target_retention = std::chrono::seconds(30);

/// Sort key of the registrations of one target.
auto order_key(const core::target_registration& registration)
{
    return std::make_tuple(registration.started, registration.sequence);
}

const char* state_name(core::target_admin_state state)
{
    return state == core::target_admin_state::in ? "in" : "draining";
}

void log_change(const core::target_registration& registration, const char* state)
{
    log_event(
        event_id::target_changed, {{"service", registration.service},
                                   {"target", registration.target.name},
                                   {"address", registration.target.address},
                                   {"failure_domain", registration.target.failure_domain},
                                   {"state", state},
                                   {"incarnation", std::to_string(registration.started)},
                                   {"sequence", std::to_string(registration.sequence)}});
}

} // namespace

target_registry::target_registry(target_registry_options options)
    : options_(std::move(options))
{
}

std::optional<core::time_point> target_registry::apply(
    const std::map<std::string, core::store_object>& objects,
    std::uint64_t era,
    core::time_point now,
    core::time_point hold_until)
{
    // The first list is logged as one line: one line per target would, with hundreds of targets,
    // use up the log's limit per second.
    const bool first = entries_.empty();
    std::erase_if(refused_, [&](const auto& each) { return !objects.contains(each.first); });
    for (const auto& [key, object] : objects)
    {
        apply_object(object, !first);
    }
    if (first && !objects.empty())
    {
        log_event(
            event_id::targets_known, {{"entries", std::to_string(objects.size())},
                                      {"targets", std::to_string(targets().size())}});
    }

    std::optional<core::time_point> next;
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        entry& each = at->second;
        const auto& registration = each.registration;
        // An entry that cannot be used does not bring back a target that is no longer listed.
        const bool stored = objects.contains(at->first) && (each.listed || !each.unusable);
        each.outdated = each.outdated && stored;
        if (stored && !each.outdated)
        {
            ++at;
            continue;
        }
        if (!stored)
        {
            each.seen.era = era;
        }
        if (std::exchange(each.listed, false))
        {
            // A draining target whose entry disappears has certainly left; it is not kept.
            const bool remove_now = registration.target.state == core::target_admin_state::draining;
            each.kept_until = remove_now ? now : std::max(now, hold_until);
            log_change(registration, now >= *each.kept_until ? "gone" : "unlisted");
        }
        if (each.kept_until && now >= *each.kept_until)
        {
            if (now > *each.kept_until)
            {
                log_change(registration, "gone");
            }
            each.kept_until.reset();
            each.remembered_until = now + removed_target_retention;
        }
        if (each.remembered_until && now >= *each.remembered_until && !each.outdated)
        {
            at = entries_.erase(at);
            continue;
        }
        if (each.kept_until)
        {
            next = std::min(next.value_or(*each.kept_until), *each.kept_until);
        }
        ++at;
    }
    return next;
}

void target_registry::apply_object(const core::store_object& object, bool log_additions)
{
    const auto known = entries_.find(object.key);
    const bool examined =
        known != entries_.end() && known->second.seen == object.position() &&
        (known->second.listed || known->second.outdated || known->second.unusable);
    if (examined)
    {
        return;
    }
    const auto refused = refused_.find(object.key);
    if (refused != refused_.end() && refused->second == object.position())
    {
        return;
    }
    auto decoded = options_.decode(object);
    if (!decoded)
    {
        // An entry of another writer names no target, and says nothing of the registered one.
        if (known != entries_.end())
        {
            known->second.seen = object.position();
            known->second.unusable = true;
        }
        else
        {
            refused_.insert_or_assign(object.key, object.position());
        }
        return;
    }
    refused_.erase(object.key);
    entry& updated = entries_[object.key];
    const bool was_used = is_used(updated);
    const bool newer_state = order_key(*decoded) > order_key(updated.registration);
    const bool older_state = order_key(*decoded) < order_key(updated.registration);
    const bool from_copy = known != entries_.end() && is_from_copy(updated, object, newer_state);
    updated.seen = object.position();
    updated.unusable = false;
    if (from_copy || older_state)
    {
        log_change(*decoded, "outdated");
        updated.outdated = !updated.listed;
        return;
    }
    updated.listed = true;
    updated.kept_until.reset();
    updated.outdated = false;
    updated.remembered_until.reset();
    const bool changed = !was_used || decoded->started != updated.registration.started ||
                         decoded->target.state != updated.registration.target.state ||
                         decoded->target.address != updated.registration.target.address;
    updated.registration = std::move(*decoded);
    if (changed && log_additions)
    {
        log_change(updated.registration, state_name(updated.registration.target.state));
    }
}

bool target_registry::is_from_copy(
    const entry& known, const core::store_object& object, bool newer_state)
{
    const bool earlier_version =
        object.era > known.seen.era && object.version <= known.seen.version;
    return !known.listed && earlier_version && !newer_state;
}

bool target_registry::is_used(const entry& checked)
{
    return !checked.remembered_until && (checked.listed || checked.kept_until);
}

std::map<std::string, const core::target_registration*> target_registry::targets() const
{
    std::map<std::string, const core::target_registration*> used;
    for (const auto& [key, each] : entries_)
    {
        if (is_used(each))
        {
            used.emplace(each.registration.target.name, &each.registration);
        }
    }
    return used;
}

} // namespace catkintally::entry
