#include <catkintally/core/admission/admission_queue.hpp>

#include <algorithm>

namespace catkintally::core
{
namespace
{

using entries = std::deque<queued_request>;

std::optional<queued_request> take(entries& from, const entries::iterator& at)
{
    if (at == from.end())
    {
        return std::nullopt;
    }
    queued_request entry = std::move(*at);
    from.erase(at);
    return entry;
}

} // namespace

void admission_queue::push(queued_request entry)
{
    entries& into = entry.work == work_class::archive ? archive_ : front_;
    into.push_back(std::move(entry));
}

std::optional<queued_request>
admission_queue::pop(const std::function<bool(const queued_request&)>& fits)
{
    const bool archive_first = passed_over_ + 1 >= archive_interval;
    for (entries* from : {archive_first ? &archive_ : &front_, archive_first ? &front_ : &archive_})
    {
        if (auto entry = take(*from, std::find_if(from->begin(), from->end(), fits)))
        {
            const bool passed = from == &front_ && !archive_.empty();
            passed_over_ = passed ? passed_over_ + 1 : 0;
            return entry;
        }
    }
    return std::nullopt;
}

std::optional<queued_request> admission_queue::remove(request_id id)
{
    const auto has_id = [id](const queued_request& entry) { return entry.request.id == id; };
    for (entries* from : {&front_, &archive_})
    {
        if (auto entry = take(*from, std::find_if(from->begin(), from->end(), has_id)))
        {
            return entry;
        }
    }
    return std::nullopt;
}

std::optional<queued_request> admission_queue::pop_due(time_point limit)
{
    const auto due = [limit](const queued_request& entry)
    { return entry.deadline - entry.reserve <= limit; };
    for (entries* from : {&front_, &archive_})
    {
        if (auto entry = take(*from, std::find_if(from->begin(), from->end(), due)))
        {
            return entry;
        }
    }
    return std::nullopt;
}

std::optional<time_point> admission_queue::earliest_deadline() const
{
    std::optional<time_point> earliest;
    for (const entries* from : {&front_, &archive_})
    {
        for (const queued_request& entry : *from)
        {
            const time_point due = entry.deadline - entry.reserve;
            earliest = std::min(earliest.value_or(due), due);
        }
    }
    return earliest;
}

bool admission_queue::contains(request_id id) const
{
    const auto has_id = [id](const queued_request& entry) { return entry.request.id == id; };
    return std::any_of(front_.begin(), front_.end(), has_id) ||
           std::any_of(archive_.begin(), archive_.end(), has_id);
}

std::vector<queued_request> admission_queue::take_all()
{
    std::vector<queued_request> all;
    all.reserve(size());
    std::move(front_.begin(), front_.end(), std::back_inserter(all));
    std::move(archive_.begin(), archive_.end(), std::back_inserter(all));
    front_.clear();
    archive_.clear();
    return all;
}

} // namespace catkintally::core
