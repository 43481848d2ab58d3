#include <catkintally/core/idempotency/key_registry.hpp>

#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Order in which a request goes through the states. Unknown precedes done, because the dispatcher
/// may still report how the request ended.
int progress(key_state state)
{
    switch (state)
    {
    case key_state::queued:
        return 0;
    case key_state::granted:
        return 1;
    case key_state::unknown:
        return 2;
    case key_state::done:
        return 3;
    }
    return 2;
}

} // namespace

const idempotency_record* key_registry::find(const std::string& key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

const idempotency_record* key_registry::find_by_request(request_id id) const
{
    const auto found = keys_by_request_.find(id);
    return found == keys_by_request_.end() ? nullptr : find(found->second);
}

bool key_registry::insert(idempotency_record record)
{
    assert(find(record.key) == nullptr);
    if (full())
    {
        return false;
    }
    store(std::move(record));
    return true;
}

void key_registry::set_state(const std::string& key, key_state state, time_point now)
{
    const auto found = records_.find(key);
    assert(found != records_.end());
    idempotency_record changed = found->second;
    changed.state = state;
    changed.changed = now;
    store(std::move(changed));
}

void key_registry::set_request(const std::string& key, request_id id, std::string dispatcher)
{
    const auto found = records_.find(key);
    assert(found != records_.end());
    idempotency_record changed = found->second;
    changed.request = id;
    changed.dispatcher = std::move(dispatcher);
    store(std::move(changed));
}

void key_registry::remove(const std::string& key)
{
    const auto found = records_.find(key);
    if (found == records_.end())
    {
        return;
    }
    order_.erase({found->second.changed, key});
    keys_by_request_.erase(found->second.request);
    records_.erase(found);
}

void key_registry::merge(const idempotency_record& record)
{
    const idempotency_record* known = find(record.key);
    if (known == nullptr || progress(record.state) > progress(known->state) ||
        (record.state == known->state && record.changed > known->changed))
    {
        store(record);
    }
}

void key_registry::expire(time_point now)
{
    while (!order_.empty() && order_.begin()->first + options_.retention <= now)
    {
        remove(std::string(order_.begin()->second));
    }
}

void key_registry::for_each(const std::function<void(const idempotency_record&)>& visit) const
{
    for (const auto& [key, record] : records_)
    {
        visit(record);
    }
}

void key_registry::store(idempotency_record record)
{
    remove(std::string(record.key));
    order_.emplace(record.changed, record.key);
    keys_by_request_[record.request] = record.key;
    std::string key = record.key;
    records_.emplace(std::move(key), std::move(record));
}

} // namespace catkintally::core
