#pragma once

#include <catkintally/core/store/store_position.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace catkintally::entry
{

/// Objects of the store that cannot be used. Each is logged once for each reason until it can be
/// used again, however often its writer or the store repeats it, and counted once for each
/// position.
class refused_objects
{
public:
    /// `where` names the member that is not what was `expected`.
    void refuse(
        const std::string& key,
        core::store_position position,
        const std::string& where,
        const std::string& expected);

    /// Counts entries under `prefix` whose name cannot be read. Logged once for each prefix.
    void refuse_nameless(const std::string& prefix, std::uint64_t number);

    /// The object can be used.
    void accept(const std::string& key) { known_.erase(key); }

    /// Number of refusals.
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    struct refusal
    {
        core::store_position position;
        std::string where;
    };

    /// The refusals that are not logged again, by key.
    std::map<std::string, refusal> known_;
    /// Keys in the order in which they were added to `known_`, to forget the oldest.
    std::deque<std::string> order_;
    std::set<std::string> nameless_;
    std::uint64_t count_ = 0;
};

} // namespace catkintally::entry
