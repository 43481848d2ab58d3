#include <catkintally/core/admission/crashing_request_detector.hpp>

#include <algorithm>
#include <vector>

namespace catkintally::core
{
namespace
{

/// The names under which a request is known. A zero fingerprint is an unknown one.
std::vector<std::string> identities(std::uint64_t fingerprint, const std::string& key)
{
    std::vector<std::string> names;
    if (fingerprint != 0)
    {
        names.push_back("f" + std::to_string(fingerprint));
    }
    if (!key.empty())
    {
        names.push_back("k" + key);
    }
    return names;
}

} // namespace

void crashing_request_detector::crashed(
    std::uint64_t fingerprint,
    const std::string& key,
    const std::string& target,
    std::uint64_t grant_number,
    std::uint64_t grants_before,
    time_point now)
{
    for (const std::string& name : identities(fingerprint, key))
    {
        const auto known = records_.find(name);
        const bool recent =
            known != records_.end() && known->second.crashed_at + retention_time > now;
        if (recent && known->second.target != target && grant_number > known->second.grants_before)
        {
            known->second.refused_until = now + retention_time;
            continue;
        }
        if (recent)
        {
            continue;
        }
        evict_if_full(now);
        records_[name] = {
            .target = target,
            .grants_before = grants_before,
            .crashed_at = now,
            .refused_until = {}};
    }
}

void crashing_request_detector::answered(std::uint64_t fingerprint, const std::string& key)
{
    if (records_.empty())
    {
        return;
    }
    for (const std::string& name : identities(fingerprint, key))
    {
        records_.erase(name);
    }
}

bool crashing_request_detector::is_refused(
    std::uint64_t fingerprint, const std::string& key, time_point now) const
{
    return any_record(
        fingerprint, key, [now](const record& known) { return known.refused_until > now; });
}

bool crashing_request_detector::is_suspect(
    std::uint64_t fingerprint, const std::string& key, time_point now) const
{
    return any_record(
        fingerprint, key,
        [now](const record& known) { return known.crashed_at + retention_time > now; });
}

bool crashing_request_detector::any_record(
    std::uint64_t fingerprint,
    const std::string& key,
    const std::function<bool(const record&)>& matches) const
{
    if (records_.empty())
    {
        return false;
    }
    const auto names = identities(fingerprint, key);
    return std::any_of(
        names.begin(), names.end(),
        [&](const std::string& name)
        {
            const auto known = records_.find(name);
            return known != records_.end() && matches(known->second);
        });
}

std::size_t crashing_request_detector::refused_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [now](const auto& entry) { return entry.second.refused_until > now; }));
}

void crashing_request_detector::evict_if_full(time_point now)
{
    if (records_.size() < max_records)
    {
        return;
    }
    std::erase_if(
        records_,
        [now](const auto& entry) {
            return entry.second.crashed_at + retention_time <= now &&
                   entry.second.refused_until <= now;
        });
    // Under a flood of crashes, the oldest suspicion goes first; a refusal in force stays.
    while (records_.size() >= max_records)
    {
        const auto oldest = std::min_element(
            records_.begin(), records_.end(),
            [](const auto& left, const auto& right)
            {
                return std::pair(left.second.refused_until, left.second.crashed_at) <
                       std::pair(right.second.refused_until, right.second.crashed_at);
            });
        records_.erase(oldest);
    }
}

} // namespace catkintally::core
