#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

using core::store_list_result;
using core::store_status;

namespace
{

/// Passes an answer on if it belongs to the newest call of a mirror that still exists.
core::object_store::list_hook
if_current(const std::shared_ptr<std::uint64_t>& newest, core::object_store::list_hook take)
{
    const std::uint64_t number = ++*newest;
    return [weak = std::weak_ptr(newest), number, take = std::move(take)](store_list_result answer)
    {
        const auto current = weak.lock();
        if (current && *current == number)
        {
            take(std::move(answer));
        }
    };
}

} // namespace

object_mirror::object_mirror(object_mirror_options options)
    : options_(std::move(options))
{
    assert(options_.store != nullptr && options_.timers != nullptr);
    assert(options_.changed && options_.heard && options_.lost);
}

object_mirror::~object_mirror()
{
    options_.timers->cancel(pause_timer_);
}

void object_mirror::resume()
{
    options_.timers->cancel(std::exchange(pause_timer_, 0));
    // A list is answered at once, so it also shows that the store is there; a watch would not.
    list();
}

void object_mirror::list()
{
    options_.store->list(
        options_.prefix, if_current(
                             call_,
                             [this](const store_list_result& answer)
                             {
                                 if (answer.status != store_status::ok || answer.version < version_)
                                 {
                                     options_.lost();
                                     return;
                                 }
                                 options_.heard();
                                 take_list(answer);
                                 watch_after_pause();
                             }));
}

void object_mirror::watch()
{
    options_.store->watch(
        options_.prefix, version_,
        if_current(
            call_,
            [this](const store_list_result& answer)
            {
                if (answer.status == store_status::not_found)
                {
                    // The store's history does not reach back to the version that is known.
                    runtime::log_event(
                        runtime::event_id::table_watch_gap,
                        {{"kind", options_.prefix}, {"from", std::to_string(version_)}});
                    options_.heard();
                    list();
                    return;
                }
                if (answer.status != store_status::ok || answer.version < version_)
                {
                    options_.lost();
                    return;
                }
                options_.heard();
                const std::uint64_t before = version_;
                take_events(answer);
                if (version_ == before)
                {
                    watch();
                }
                else
                {
                    watch_after_pause();
                }
            }));
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

void object_mirror::take_list(const store_list_result& answer)
{
    std::map<std::string, core::store_object> listed;
    for (const core::store_object& object : answer.objects)
    {
        listed.emplace(object.key, object);
    }
    objects_ = std::move(listed);
    version_ = answer.version;
    listed_ = true;
    options_.changed();
}

void object_mirror::take_events(const store_list_result& answer)
{
    bool any = false;
    for (const core::store_object& event : answer.objects)
    {
        if (event.version <= version_)
        {
            continue;
        }
        any = true;
        if (event.deleted)
        {
            objects_.erase(event.key);
        }
        else
        {
            objects_[event.key] = event;
        }
    }
    version_ = answer.version;
    if (any)
    {
        options_.changed();
    }
}

} // namespace catkintally::entry
