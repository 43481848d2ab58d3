#include <catkintally/entry/table/table_watcher.hpp>

#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::entry
{

using core::store_list_result;
using core::store_object;
using core::store_status;
using runtime::event_id;

table_watcher::table_watcher(table_watcher_options options)
    : options_(std::move(options))
    , back_off_(options_.back_off)
{
    assert(options_.store != nullptr && options_.timers != nullptr && options_.publish);
}

table_watcher::~table_watcher()
{
    options_.timers->cancel(retry_timer_);
}

void table_watcher::start()
{
    list();
}

void table_watcher::list()
{
    const auto sent = options_.timers->now();
    options_.store->list(
        core::table_prefix,
        [this, sent, alive = std::weak_ptr(alive_)](const store_list_result& answer)
        {
            if (alive.expired())
            {
                return;
            }
            if (answer.status != store_status::ok || !accept_version(answer.version))
            {
                retry(&table_watcher::list);
                return;
            }
            last_heard_ = sent;
            apply_list(answer);
            watch();
        });
}

void table_watcher::watch()
{
    const auto sent = options_.timers->now();
    options_.store->watch(
        core::table_prefix, store_version_,
        [this, sent, alive = std::weak_ptr(alive_)](const store_list_result& answer)
        {
            if (alive.expired())
            {
                return;
            }
            if (answer.status == store_status::not_found)
            {
                runtime::log_event(
                    event_id::table_watch_gap, {{"from", std::to_string(store_version_)}});
                retry(&table_watcher::list);
                return;
            }
            if (answer.status != store_status::ok || !accept_version(answer.version))
            {
                retry(&table_watcher::watch);
                return;
            }
            last_heard_ = sent;
            back_off_.reset();
            apply_events(answer);
            watch();
        });
}

void table_watcher::retry(void (table_watcher::*next)())
{
    retry_timer_ =
        options_.timers->schedule_after(back_off_.next(), [this, next] { (this->*next)(); });
}

// An answer from an older state of the store must not undo changes observed since.
bool table_watcher::accept_version(std::uint64_t version)
{
    const bool older = version < store_version_;
    if (older && !version_regressed_)
    {
        runtime::log_event(
            event_id::store_version_went_back,
            {{"seen", std::to_string(store_version_)}, {"answer", std::to_string(version)}});
    }
    version_regressed_ = older;
    return !older;
}

void table_watcher::apply_list(const store_list_result& answer)
{
    core::table_objects listed;
    for (const auto& object : answer.objects)
    {
        listed.emplace(object.key, object);
    }
    const bool deleted = std::any_of(
        latest_.begin(), latest_.end(),
        [&](const auto& known) { return !listed.contains(known.first); });
    if (deleted)
    {
        deletion_version_ = answer.version;
    }
    latest_ = std::move(listed);
    store_version_ = answer.version;
    apply_latest();
}

void table_watcher::apply_events(const store_list_result& answer)
{
    for (const auto& event : answer.objects)
    {
        if (event.version <= store_version_)
        {
            continue;
        }
        if (event.deleted)
        {
            latest_.erase(event.key);
            deletion_version_ = std::max(deletion_version_, event.version);
        }
        else
        {
            latest_[event.key] = event;
        }
    }
    store_version_ = answer.version;
    apply_latest();
}

void table_watcher::apply_latest()
{
    const auto revision = std::max(core::newest_version(latest_), deletion_version_);
    const bool known =
        (revision_ && revision <= *revision_) || (store_refused_ && revision <= *store_refused_);
    if (!known && !apply(revision, latest_, "store"))
    {
        store_refused_ = revision;
    }
}

offer_result table_watcher::offer(std::uint64_t revision, const std::vector<store_object>& objects)
{
    if (revision_ && revision <= *revision_)
    {
        return offer_result::not_newer;
    }
    core::table_objects offered;
    for (const auto& object : objects)
    {
        const bool in_table = object.key.starts_with(core::table_prefix);
        if (!in_table || object.deleted || object.version > revision)
        {
            refuse(
                revision,
                {{.kind = core::table_error_kind::malformed,
                  .row = "object " + object.key,
                  .reason = "does not belong to revision " + std::to_string(revision)}},
                "peer");
            return offer_result::refused;
        }
        offered.emplace(object.key, object);
    }
    return apply(revision, offered, "peer") ? offer_result::applied : offer_result::refused;
}

bool table_watcher::apply(
    std::uint64_t revision, const core::table_objects& objects, const char* source)
{
    auto built = builder_.build(revision, objects);
    if (built.table == nullptr)
    {
        refuse(revision, std::move(built.errors), source);
        return false;
    }
    assert(!revision_ || revision > *revision_);
    revision_ = revision;
    in_force_ = objects;
    if (refusal_ && refusal_->revision <= revision)
    {
        refusal_.reset();
    }
    runtime::log_event(
        event_id::table_applied, {{"revision", std::to_string(revision)},
                                  {"services", std::to_string(built.table->services.size())},
                                  {"source", source}});
    options_.publish(std::move(built.table));
    return true;
}

void table_watcher::refuse(
    std::uint64_t revision, std::vector<core::table_error> errors, const char* source)
{
    assert(!errors.empty());
    // Peers repeat their offers; one line for each refused revision is enough.
    if (refusal_ && revision == refusal_->revision && errors == refusal_->errors)
    {
        return;
    }
    const auto& first = errors.front();
    runtime::log_event(
        event_id::table_refused, {{"revision", std::to_string(revision)},
                                  {"in_force", revision_ ? std::to_string(*revision_) : "none"},
                                  {"source", source},
                                  {"findings", std::to_string(errors.size())},
                                  {"kind", std::string(to_string(first.kind))},
                                  {"row", first.row},
                                  {"column", first.column},
                                  {"reason", first.reason}});
    refusal_ = table_refusal{.revision = revision, .errors = std::move(errors)};
    if (options_.refused)
    {
        options_.refused(*refusal_);
    }
}

std::vector<store_object> table_watcher::objects() const
{
    std::vector<store_object> all;
    for (const auto& [key, object] : in_force_)
    {
        all.push_back(object);
    }
    return all;
}

} // namespace catkintally::entry
