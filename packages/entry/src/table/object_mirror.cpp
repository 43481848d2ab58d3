#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>
#include <catkintally/wire/codec/value_delta.hpp>

#include <boost/leaf/result.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <set>
#include <utility>

namespace catkintally::entry
{

namespace leaf = boost::leaf;
using core::store_list_result;
using core::store_status;

namespace
{

/// Least time between two lists that follow a gap in the history.
constexpr auto min_gap_interval = std::chrono::milliseconds(300);

/// Smaller values are sent whole.
constexpr std::size_t least_delta_bytes = 4'096;

/// Removes the objects that a later one with the same key replaces.
void remove_superseded(std::vector<core::store_object>& objects)
{
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < objects.size(); ++i)
    {
        last[objects[i].key] = i;
    }
    std::size_t index = 0;
    std::erase_if(
        objects, [&](const core::store_object& object) { return last.at(object.key) != index++; });
}

/// Forwards an answer only if it belongs to the latest call of a mirror that still exists.
core::object_store::list_callback
if_current(const std::shared_ptr<std::uint64_t>& newest, core::object_store::list_callback handler)
{
    const std::uint64_t number = ++*newest;
    return [weak = std::weak_ptr(newest), number,
            handler = std::move(handler)](store_list_result answer)
    {
        const auto current = weak.lock();
        if (current && *current == number)
        {
            handler(std::move(answer));
        }
    };
}

/// Contribution of one object to the digest of all objects.
std::uint64_t digest_of(const core::store_object& object)
{
    std::uint64_t mixed = std::hash<std::string>()(object.key) + object.version;
    for (const std::uint64_t part : {object.era, object.content})
    {
        mixed = part == 0 ? mixed : core::split_mix(mixed + part).next();
    }
    return core::split_mix(mixed).next();
}

} // namespace

object_mirror::object_mirror(object_mirror_options options)
    : options_(std::move(options))
{
    assert(options_.store != nullptr && options_.timers != nullptr);
    assert(
        options_.changed && options_.updated && options_.on_answered && options_.on_call_failure);
}

object_mirror::~object_mirror()
{
    options_.timers->cancel(pause_timer_);
}

void object_mirror::resume()
{
    options_.timers->cancel(std::exchange(pause_timer_, 0));
    // A list is answered at once, so it also shows that the store is reachable; a watch would not.
    list();
}

bool object_state::covers(const object_state& other) const
{
    if (digest == other.digest)
    {
        return true;
    }
    const bool newer = position() > other.position() || content > other.content;
    return newer && position() >= other.position() && content >= other.content;
}

std::uint64_t object_mirror::known_era() const
{
    return options_.known_era ? options_.known_era().value_or(0) : 0;
}

std::uint64_t object_mirror::digest() const
{
    // The same objects in another era are another state, because later updates differ.
    return position_.era == 0 ? objects_digest_
                              : objects_digest_ + core::split_mix(position_.era).next();
}

object_state object_mirror::state() const
{
    object_state known{
        .version = position_.version, .digest = digest(), .era = position_.era, .content = 0};
    if (options_.content)
    {
        for (const auto& [key, object] : objects_)
        {
            known.content = std::max(known.content, object.content);
        }
    }
    return known;
}

bool object_mirror::accept_era(const store_list_result& answer)
{
    if (!answer.era || !options_.known_era)
    {
        return true;
    }
    const auto known = options_.known_era();
    if (known && *answer.era < *known)
    {
        options_.on_earlier_era(*answer.era);
        // A store that keeps naming an earlier era has a wrong header. Its answers are used,
        // because a change must not be lost for that.
        return std::exchange(earlier_era_named_, true);
    }
    earlier_era_named_ = false;
    if (!known || *answer.era > *known)
    {
        options_.on_new_era(*answer.era);
    }
    return true;
}

bool object_mirror::note_answered()
{
    const std::uint64_t call = *current_call_;
    options_.on_answered();
    return *current_call_ == call;
}

void object_mirror::list()
{
    options_.store->list(
        options_.prefix, if_current(
                             current_call_,
                             [this](store_list_result answer)
                             {
                                 if (answer.status != store_status::ok)
                                 {
                                     options_.on_call_failure();
                                     return;
                                 }
                                 if (!accept_era(answer))
                                 {
                                     list();
                                     return;
                                 }
                                 if (watch_era_ == known_era() && answer.version < watch_version_)
                                 {
                                     options_.on_call_failure();
                                     return;
                                 }
                                 const bool goes_on = note_answered();
                                 apply_list(std::move(answer));
                                 if (goes_on)
                                 {
                                     watch_after_pause();
                                 }
                             }));
}

void object_mirror::watch()
{
    options_.store->watch(
        options_.prefix, watch_version_,
        if_current(
            current_call_,
            [this](store_list_result answer)
            {
                const bool answered =
                    answer.status == store_status::ok || answer.status == store_status::not_found;
                if (!answered)
                {
                    options_.on_call_failure();
                    return;
                }
                if (!accept_era(answer) || watch_era_ != known_era())
                {
                    // The answer, or the watched version, belongs to an earlier era.
                    list();
                    return;
                }
                if (answer.status == store_status::not_found)
                {
                    // The store's history does not reach back to the watched version.
                    runtime::log_event(
                        runtime::event_id::table_watch_gap,
                        {{"kind", options_.prefix}, {"from", std::to_string(watch_version_)}});
                    if (!note_answered())
                    {
                        return;
                    }
                    list_after_gap();
                    if (options_.on_history_lost)
                    {
                        options_.on_history_lost();
                    }
                    return;
                }
                if (answer.version < watch_version_)
                {
                    options_.on_call_failure();
                    return;
                }
                const bool goes_on = note_answered();
                const bool quiet =
                    answer.objects.empty() && answer.unreadable.empty() && answer.nameless == 0;
                apply_events(std::move(answer));
                if (!goes_on)
                {
                    return;
                }
                if (quiet)
                {
                    watch();
                }
                else
                {
                    watch_after_pause();
                }
            }));
}

void object_mirror::list_after_gap()
{
    // A store that keeps dropping its history would otherwise be called without pause.
    const auto now = options_.timers->now();
    const auto due = last_gap_list_ ? std::max(now, *last_gap_list_ + min_gap_interval) : now;
    last_gap_list_ = due;
    if (due == now)
    {
        list();
        return;
    }
    pause_timer_ = options_.timers->schedule_after(
        due - now,
        [this]
        {
            pause_timer_ = 0;
            list();
        });
}

void object_mirror::watch_after_pause()
{
    pause_timer_ = options_.timers->schedule_after(
        options_.pause,
        [this]
        {
            pause_timer_ = 0;
            watch();
        });
}

void object_mirror::halt()
{
    options_.timers->cancel(std::exchange(pause_timer_, 0));
    ++*current_call_;
}

void object_mirror::log_older_content(
    const core::store_object& listed, const core::store_object& known)
{
    // An object that cannot be used has no content; the content hook has reported it.
    const bool unusable = !listed.deleted && listed.content == 0;
    if (unusable || older_content_ == listed.position())
    {
        return;
    }
    older_content_ = listed.position();
    runtime::log_event(
        runtime::event_id::object_refused,
        {{"key", listed.key},
         {"version", std::to_string(listed.version)},
         {"where", "version"},
         {"expected", "at least " + std::to_string(known.content)}});
}

void object_mirror::complete_answer(store_list_result& answer) const
{
    std::erase_if(
        answer.objects,
        [&](const core::store_object& object)
        {
            const bool refused =
                options_.max_object_bytes != 0 && object.key.size() > options_.max_object_bytes;
            if (refused)
            {
                answer.unreadable.push_back(
                    {.key = object.key, .where = "metadata.name", .expected = "a shorter name"});
            }
            return refused;
        });
    for (core::store_object& object : answer.objects)
    {
        limit_size(object);
        object.era = known_era();
        object.content = object.deleted || !options_.content ? 0 : options_.content(object);
    }
    const bool unreadable = !answer.unreadable.empty() || answer.nameless > 0;
    if (unreadable && options_.on_unreadable)
    {
        options_.on_unreadable(answer);
    }
}

void object_mirror::limit_size(core::store_object& object) const
{
    const std::size_t size = object.value.size() + object.status.size();
    if (options_.max_object_bytes != 0 && size > options_.max_object_bytes)
    {
        object.value.clear();
        object.status.clear();
    }
}

void object_mirror::apply_list(store_list_result answer)
{
    complete_answer(answer);
    watch_version_ = answer.version;
    watch_era_ = known_era();
    if (!is_listed() || position_.era != watch_era_)
    {
        replace(answer.objects, answer.unreadable);
        position_ = {.era = watch_era_, .version = answer.version};
        options_.updated(whole());
        options_.changed();
        return;
    }

    // Differences from the known objects, expressed as changes.
    object_update update{
        .prefix = options_.prefix, .version = answer.version, .objects = {}, .era = watch_era_};
    std::set<std::string> listed;
    for (const core::unreadable_entry& entry : answer.unreadable)
    {
        listed.insert(entry.key);
    }
    for (const core::store_object& object : answer.objects)
    {
        listed.insert(object.key);
        const auto known = objects_.find(object.key);
        if (known == objects_.end() || object.is_newer_than(known->second))
        {
            update.objects.push_back(object);
        }
        else if (known->second.content > object.content)
        {
            log_older_content(object, known->second);
        }
    }
    for (const auto& [key, object] : objects_)
    {
        const bool removable = object.content == 0 && object.version <= answer.version;
        if (removable && !listed.contains(key))
        {
            update.objects.push_back(
                {.key = key,
                 .version = answer.version,
                 .value = {},
                 .deleted = true,
                 .status = {},
                 .era = watch_era_});
        }
    }
    update.deltas = deltas_to(update.objects);
    if (apply(update.objects))
    {
        position_.version = std::max(position_.version, answer.version);
        update.digest = digest();
        options_.updated(update);
        options_.changed();
    }
}

void object_mirror::apply_events(store_list_result answer)
{
    complete_answer(answer);
    watch_version_ = answer.version;
    for (const core::store_object& object : answer.objects)
    {
        const auto known = objects_.find(object.key);
        if (known != objects_.end() && known->second.content > object.content)
        {
            log_older_content(object, known->second);
        }
    }
    remove_superseded(answer.objects);
    auto deltas = deltas_to(answer.objects);
    if (apply(answer.objects))
    {
        position_ = std::max(position_, {.era = watch_era_, .version = answer.version});
        options_.updated(
            {.prefix = options_.prefix,
             .version = answer.version,
             .digest = digest(),
             .objects = std::move(answer.objects),
             .era = watch_era_,
             .deltas = std::move(deltas)});
        options_.changed();
    }
}

bool object_mirror::apply(const std::vector<core::store_object>& changes)
{
    bool any = false;
    for (const core::store_object& change : changes)
    {
        const auto known = objects_.find(change.key);
        if (known != objects_.end() && !change.is_newer_than(known->second))
        {
            continue;
        }
        if (known != objects_.end())
        {
            objects_digest_ -= digest_of(known->second);
            objects_.erase(known);
            any = true;
        }
        if (!change.deleted)
        {
            objects_digest_ += digest_of(change);
            limit_size(objects_[change.key] = change);
            any = true;
        }
    }
    return any;
}

bool object_mirror::apply_newer_content(const std::vector<core::store_object>& objects)
{
    std::vector<core::store_object> newer;
    for (const core::store_object& object : objects)
    {
        const auto known = objects_.find(object.key);
        if (object.content > (known == objects_.end() ? 0 : known->second.content))
        {
            newer.push_back(object);
        }
    }
    return apply(newer);
}

void object_mirror::replace(
    const std::vector<core::store_object>& objects,
    const std::vector<core::unreadable_entry>& unreadable)
{
    const auto previous = std::exchange(objects_, {});
    objects_digest_ = 0;
    apply(objects);
    for (const auto& [key, known] : previous)
    {
        const auto listed = objects_.find(key);
        if (listed != objects_.end() && known.content > listed->second.content)
        {
            log_older_content(listed->second, known);
        }
        apply_newer_content({known});
    }
    for (const core::unreadable_entry& entry : unreadable)
    {
        const auto known = previous.find(entry.key);
        if (known != previous.end() && !objects_.contains(entry.key))
        {
            apply({known->second});
        }
    }
}

std::map<std::string, object_delta>
object_mirror::deltas_to(const std::vector<core::store_object>& changes) const
{
    std::map<std::string, object_delta> deltas;
    for (const core::store_object& change : changes)
    {
        const auto known = objects_.find(change.key);
        const bool large =
            known != objects_.end() && change.is_newer_than(known->second) &&
            std::min(known->second.value.size(), change.value.size()) >= least_delta_bytes;
        if (!large)
        {
            continue;
        }
        if (auto delta = wire::encode_delta(known->second.value, change.value))
        {
            deltas.emplace(
                change.key,
                object_delta{.base = known->second.position(), .bytes = std::move(*delta)});
        }
    }
    return deltas;
}

bool object_mirror::restore_values(object_update& update) const
{
    bool complete = true;
    std::erase_if(
        update.objects,
        [&](core::store_object& object)
        {
            const auto delta = update.deltas.find(object.key);
            if (delta == update.deltas.end() || !object.value.empty())
            {
                return false;
            }
            const auto known = objects_.find(object.key);
            const bool is_known = known != objects_.end();
            if (is_known && !object.is_newer_than(known->second))
            {
                return true;
            }
            auto value =
                is_known && known->second.position() == delta->second.base
                    ? wire::apply_delta(
                          known->second.value, delta->second.bytes, wire::max_envelope_bytes)
                    : leaf::result<std::string>(std::string());
            if (!value || value->empty())
            {
                complete = false;
                return true;
            }
            object.value = std::move(*value);
            return false;
        });
    return complete;
}

update_result object_mirror::offer(const object_update& offered)
{
    if (offered.deltas.empty())
    {
        return apply_update(offered);
    }
    object_update update = offered;
    const bool complete = restore_values(update);
    const update_result result = apply_update(update);
    return complete ? result : update_result::gap;
}

update_result object_mirror::apply_update(const object_update& update)
{
    const bool older = is_listed() && update.position() <= position_;
    const bool builds_on_unknown = !update.whole && (!is_listed() || update.era != position_.era);
    if (older || builds_on_unknown)
    {
        const bool changed = is_listed() && apply_newer_content(update.objects);
        if (changed)
        {
            options_.changed();
        }
        return !older    ? update_result::gap
               : changed ? update_result::applied
                         : update_result::not_newer;
    }
    if (update.whole)
    {
        replace(update.objects);
        position_ = update.position();
        options_.changed();
        return update_result::applied;
    }
    if (apply(update.objects))
    {
        options_.changed();
    }
    if (digest() != update.digest)
    {
        return update_result::gap;
    }
    position_ = update.position();
    return update_result::applied;
}

object_update object_mirror::whole() const
{
    object_update update{
        .prefix = options_.prefix,
        .version = position_.version,
        .digest = digest(),
        .whole = true,
        .objects = {},
        .era = position_.era};
    for (const auto& [key, object] : objects_)
    {
        update.objects.push_back(object);
    }
    return update;
}

} // namespace catkintally::entry
