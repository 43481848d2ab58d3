#include <catkintally/core/fleet/answer_store.hpp>

#include <utility>

namespace catkintally::core
{

namespace
{

std::size_t size_of(const stored_answer& answer)
{
    std::size_t bytes = sizeof(stored_answer) + answer.body.size();
    for (const auto& [name, value] : answer.headers)
    {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

void answer_store::put(
    const std::string& service,
    const std::string& key,
    std::shared_ptr<const stored_answer> answer,
    time_point now)
{
    const std::size_t bytes = size_of(*answer);
    answer_key id{service, key};
    if (const auto known = index_.find(id); known != index_.end())
    {
        bytes_ -= known->second->bytes;
        entries_.erase(known->second);
        index_.erase(known);
    }
    if (bytes > options_.max_answer_bytes)
    {
        return;
    }
    entries_.push_back({.key = id, .answer = std::move(answer), .bytes = bytes, .stored = now});
    index_.emplace(std::move(id), std::prev(entries_.end()));
    bytes_ += bytes;
    while (bytes_ > options_.max_total_bytes)
    {
        drop_oldest();
    }
}

std::shared_ptr<const stored_answer>
answer_store::find(const std::string& service, const std::string& key, time_point now)
{
    while (!entries_.empty() && entries_.front().stored + options_.keep <= now)
    {
        drop_oldest();
    }
    const auto known = index_.find({service, key});
    return known == index_.end() ? nullptr : known->second->answer;
}

void answer_store::drop_oldest()
{
    bytes_ -= entries_.front().bytes;
    index_.erase(entries_.front().key);
    entries_.pop_front();
}

} // namespace catkintally::core
