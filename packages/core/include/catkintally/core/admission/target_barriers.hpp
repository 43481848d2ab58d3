#pragma once

#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkintally::core
{

/// Why this instance may not send new requests to a target.
enum class barrier_reason : std::uint8_t
{
    /// The target has said that it leaves.
    leaving,
    /// The target has turned a request away and asked for a pause.
    paused
};

/// Names of the reasons, for logs and dumps.
inline constexpr std::array<std::string_view, 2> barrier_reason_names = {"leaving", "paused"};

/// A target that gets no new requests from this instance.
struct target_barrier
{
    barrier_reason reason = barrier_reason::leaving;
    /// End of the barrier; nothing if it holds until the target starts again.
    std::optional<time_point> until{};
    /// Pause that the target has asked for.
    duration asked{};
};

/// A barrier and its target, for the dump.
struct target_barrier_dump
{
    std::string service;
    std::string target;
    target_barrier barrier;
};

/// Targets that have announced in a response that they leave, or that want no requests for a while.
/// An announcement holds for one incarnation of the target at one address, whatever the table says.
class target_barriers
{
public:
    /// Records that the target says that it leaves.
    void note_leaving(const std::string& service, const target_row& target, time_point now);

    /// Records that the target asks for a pause from now on. A shorter pause does not end an
    /// earlier one. Pauses are limited to five minutes, so that operators notice a mistaken value
    /// before the target has been out of use for long.
    void note_pause(
        const std::string& service, const target_row& target, duration pause, time_point now);

    /// Records that a request was granted to the target.
    void note_grant(const std::string& service, const target_row& target, time_point now);

    /// The barrier before the target; nothing if it may get requests.
    [[nodiscard]] std::optional<target_barrier>
    find(const std::string& service, const target_row& target, time_point now) const;

    /// In the first second after a pause a target gets few grants, because many callers have waited
    /// for its end. Returns when it may get the next one; nothing if now.
    [[nodiscard]] std::optional<time_point>
    next_grant(const std::string& service, const target_row& target, time_point now) const;

    /// Drops what was said by targets that the table has not listed for some minutes.
    void remove_unlisted(const table_snapshot& table, time_point now);

    /// All barriers.
    [[nodiscard]] std::vector<target_barrier_dump> dump(time_point now) const;

private:
    struct entry
    {
        std::uint64_t incarnation = 0;
        std::string address;
        bool leaving = false;
        time_point last_listed{};
        duration pause{};
        std::optional<time_point> pause_until{};
        std::optional<time_point> last_grant{};
    };

    /// Entry for the present start of the target.
    entry& entry_of(const std::string& service, const target_row& target, time_point now);

    /// Entry that holds for this start of the target; null if there is none.
    [[nodiscard]] const entry*
    find_entry(const std::string& service, const target_row& target) const;
    [[nodiscard]] static std::optional<target_barrier>
    barrier_of(const entry& known, time_point now);

    /// By service and target.
    std::map<std::pair<std::string, std::string>, entry> entries_;
};

} // namespace catkintally::core
