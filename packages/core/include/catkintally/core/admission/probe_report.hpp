#pragma once

#include <catkintally/core/admission/completion_report.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace catkintally::core
{

/// What came back from one health check of a target.
struct probe_report
{
    /// A whole answer arrived.
    bool answered = false;
    /// Its HTTP status.
    std::uint16_t status = 0;
    /// The target says that it takes work.
    bool healthy = false;
    /// Name by which the target called itself; empty if it did not.
    std::string name;
    std::optional<load_report> load;
    /// How much longer the target is cold.
    duration warmup_remaining{};
    /// From the question to its end.
    duration took{};
};

} // namespace catkintally::core
