#include <catkintally/core/admission/crash_record_store.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Calls for one change, if other instances change the record at the same time.
constexpr std::size_t max_attempts = 3;

} // namespace

crash_record_store::crash_record_store(crash_record_store_options options)
    : options_(std::move(options))
    , back_off_(options_.back_off)
{
    assert(options_.store != nullptr && options_.timers != nullptr);
    assert(options_.key_of && options_.fingerprint_of && options_.encode && options_.decode);
    assert(options_.found && options_.known);
}

crash_record_store::~crash_record_store()
{
    options_.timers->cancel(read_timer_);
    options_.timers->cancel(retry_timer_);
}

std::size_t crash_record_store::pending() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& each) { return each.second.is_pending(); }));
}

crash_record_store::entry& crash_record_store::add(std::uint64_t fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end())
    {
        return found->second;
    }
    if (entries_.size() >= options_.capacity)
    {
        // What is known of a record in the store saves a call at most. A reader saves a pending
        // one again after the outage, as long as it is refused.
        const auto is_idle = [](const auto& each) { return !each.second.busy; };
        auto dropped = std::find_if(
            entries_.begin(), entries_.end(),
            [&](const auto& each) { return is_idle(each) && !each.second.is_pending(); });
        if (dropped == entries_.end())
        {
            dropped = std::find_if(entries_.begin(), entries_.end(), is_idle);
        }
        if (dropped != entries_.end())
        {
            entries_.erase(dropped);
        }
    }
    return entries_[fingerprint];
}

void crash_record_store::save(std::uint64_t fingerprint, std::uint32_t crashes, callback done)
{
    entry& known = add(fingerprint);
    known.to_remove = false;
    known.wanted = std::max(known.wanted, crashes);
    if (known.version != 0 && known.crashes >= known.wanted && !known.busy)
    {
        done(true);
        return;
    }
    if (known.busy)
    {
        // Written when the call in progress has ended. Whether the store takes it is not known.
        done(false);
        return;
    }
    write(
        fingerprint, known.wanted, max_attempts,
        [this, done = std::move(done)](write_outcome outcome)
        {
            done(outcome != write_outcome::failed);
            if (outcome == write_outcome::failed)
            {
                retry_later();
            }
        });
}

void crash_record_store::reserve(
    std::uint64_t fingerprint, std::uint32_t crashes, std::uint32_t limit, callback done)
{
    entry& known = add(fingerprint);
    const std::uint32_t reserved = std::max(crashes, known.crashes + 1);
    if (known.busy || reserved > limit)
    {
        done(false);
        return;
    }
    write(
        fingerprint, reserved, max_attempts,
        [done = std::move(done)](write_outcome outcome)
        { done(outcome == write_outcome::written); });
}

void crash_record_store::write(
    std::uint64_t fingerprint, std::uint32_t crashes, std::size_t attempts, write_callback done)
{
    entry& known = add(fingerprint);
    known.busy = true;
    options_.store->put(
        options_.key_of(fingerprint), options_.encode(crashes), known.version,
        [this, fingerprint, crashes, attempts, done = std::move(done),
         alive = std::weak_ptr(alive_)](const store_result& result)
        {
            if (!alive.expired())
            {
                on_written(fingerprint, crashes, attempts, result, done);
            }
        });
}

void crash_record_store::on_written(
    std::uint64_t fingerprint,
    std::uint32_t crashes,
    std::size_t attempts,
    const store_result& result,
    const write_callback& done)
{
    entry& known = add(fingerprint);
    if (result.status == store_status::ok)
    {
        known.version = result.version;
        known.crashes = crashes;
        end_write(fingerprint, write_outcome::written, done);
        return;
    }
    // Another instance has created, changed or removed the record.
    const bool changed = result.status == store_status::conflict && result.version != 0;
    const bool removed = result.status == store_status::not_found && known.version != 0;
    if (changed)
    {
        note_content(fingerprint, result.version, result.value);
    }
    else if (removed)
    {
        known.version = 0;
        known.crashes = 0;
    }
    if (changed && known.crashes >= crashes)
    {
        end_write(fingerprint, write_outcome::not_needed, done);
    }
    else if ((changed || removed) && attempts > 1)
    {
        write(fingerprint, crashes, attempts - 1, done);
    }
    else
    {
        end_write(fingerprint, write_outcome::failed, done);
    }
}

void crash_record_store::note_content(
    std::uint64_t fingerprint, std::uint64_t version, const std::string& value)
{
    entry& known = add(fingerprint);
    known.version = version;
    known.crashes = options_.decode(value).value_or(0);
    if (known.crashes > 0 && !options_.found(fingerprint, known.crashes))
    {
        known.to_remove = true;
    }
}

void crash_record_store::end_write(
    std::uint64_t fingerprint, write_outcome outcome, const write_callback& done)
{
    entry& known = add(fingerprint);
    known.busy = false;
    if (outcome != write_outcome::failed)
    {
        back_off_.reset();
    }
    // Not retried at once after a failure, nor while the store may still refuse it.
    if (outcome != write_outcome::failed && known.is_pending())
    {
        retry_later();
    }
    done(outcome);
}

void crash_record_store::remove(std::uint64_t fingerprint)
{
    entry& known = add(fingerprint);
    known.wanted = 0;
    known.to_remove = true;
    if (!known.busy)
    {
        remove_now(
            fingerprint, max_attempts,
            [this](bool removed)
            {
                if (!removed)
                {
                    retry_later();
                }
            });
    }
}

void crash_record_store::forget(std::uint64_t fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
    {
        return;
    }
    if (found->second.busy)
    {
        found->second.wanted = 0;
        return;
    }
    entries_.erase(found);
}

void crash_record_store::remove_now(
    std::uint64_t fingerprint, std::size_t attempts, const callback& done)
{
    entry& known = add(fingerprint);
    known.busy = true;
    const std::string key = options_.key_of(fingerprint);
    const auto next = [this, fingerprint, attempts, done,
                       alive = std::weak_ptr(alive_)](const store_result& result)
    {
        if (alive.expired())
        {
            return;
        }
        // The result of a read, or of a removal whose condition did not hold.
        const bool exists = result.version != 0 && (result.status == store_status::ok ||
                                                    result.status == store_status::conflict);
        add(fingerprint).version = exists ? result.version : 0;
        if (exists && attempts > 1)
        {
            remove_now(fingerprint, attempts - 1, done);
            return;
        }
        end_removal(fingerprint, result.status == store_status::not_found, done);
    };
    if (known.version == 0)
    {
        options_.store->get(key, next);
        return;
    }
    options_.store->remove(
        key, known.version,
        [this, fingerprint, done, next, alive = std::weak_ptr(alive_)](const store_result& result)
        {
            if (!alive.expired() && result.status == store_status::ok)
            {
                end_removal(fingerprint, true, done);
                return;
            }
            next(result);
        });
}

void crash_record_store::end_removal(std::uint64_t fingerprint, bool removed, const callback& done)
{
    entry& known = add(fingerprint);
    known.busy = false;
    if (removed)
    {
        back_off_.reset();
        known.version = 0;
        known.crashes = 0;
        known.to_remove = false;
        // The request may have crashed targets again meanwhile.
        if (known.is_pending())
        {
            retry_later();
        }
        else
        {
            entries_.erase(fingerprint);
        }
    }
    done(removed);
}

void crash_record_store::set_reading(bool reading)
{
    reading_ = reading;
}

void crash_record_store::on_store_answered()
{
    if (!reading_ || synchronised_ || read_timer_ != 0)
    {
        return;
    }
    read_timer_ = options_.timers->schedule_after(
        options_.read_delay,
        [this]
        {
            read_timer_ = 0;
            read_if_due();
        });
}

void crash_record_store::on_store_returned()
{
    synchronised_ = false;
    on_store_answered();
}

void crash_record_store::read_if_due()
{
    if (!reading_ || synchronised_ || listing_)
    {
        return;
    }
    listing_ = true;
    synchronised_ = true;
    options_.store->list(
        options_.prefix,
        [this, alive = std::weak_ptr(alive_)](const store_list_result& answer)
        {
            if (!alive.expired())
            {
                listing_ = false;
                on_list(answer);
            }
        });
}

void crash_record_store::on_list(const store_list_result& answer)
{
    // A kind without objects may be unknown to the store.
    if (answer.status != store_status::ok && answer.status != store_status::not_found)
    {
        synchronised_ = false;
        retry_later();
        return;
    }
    std::map<std::uint64_t, std::uint32_t> stored;
    for (const store_object& object : answer.objects)
    {
        const auto fingerprint = options_.fingerprint_of(object.key);
        const auto crashes = options_.decode(object.value);
        if (!fingerprint || !crashes)
        {
            continue;
        }
        stored[*fingerprint] = *crashes;
        if (!options_.found(*fingerprint, *crashes))
        {
            remove(*fingerprint);
        }
    }
    for (const crash_record& record : options_.known())
    {
        const auto found = stored.find(record.fingerprint);
        if (found == stored.end() || found->second < record.crashes)
        {
            entry& missing = add(record.fingerprint);
            missing.wanted = std::max(missing.wanted, record.crashes);
            missing.crashes = found == stored.end() ? 0 : missing.crashes;
        }
    }
    remove_surplus(answer.objects);
    back_off_.reset();
    retry();
}

void crash_record_store::remove_surplus(const std::vector<store_object>& objects)
{
    if (objects.size() <= options_.capacity)
    {
        return;
    }
    std::vector<store_object> oldest_first = objects;
    std::sort(
        oldest_first.begin(), oldest_first.end(),
        [](const store_object& a, const store_object& b) { return a.version < b.version; });
    oldest_first.resize(objects.size() - options_.capacity);
    for (const store_object& each : oldest_first)
    {
        options_.store->remove(each.key, each.version, [](const store_result&) {});
    }
}

void crash_record_store::retry_later()
{
    if (retry_timer_ == 0)
    {
        retry_timer_ = options_.timers->schedule_after(
            back_off_.next(),
            [this]
            {
                retry_timer_ = 0;
                retry();
            });
    }
}

void crash_record_store::retry()
{
    read_if_due();
    const auto found = std::find_if(
        entries_.begin(), entries_.end(),
        [](const auto& each) { return each.second.is_pending() && !each.second.busy; });
    if (found == entries_.end())
    {
        return;
    }
    const auto next = [this](bool succeeded) { succeeded ? retry() : retry_later(); };
    if (found->second.to_remove)
    {
        remove_now(found->first, max_attempts, next);
        return;
    }
    write(
        found->first, found->second.wanted, max_attempts,
        [next](write_outcome outcome) { next(outcome != write_outcome::failed); });
}

} // namespace catkintally::core
