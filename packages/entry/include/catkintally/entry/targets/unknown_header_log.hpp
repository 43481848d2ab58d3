#pragma once

#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Reports header fields in the responses of targets that neither HTTP nor the target dialect
/// defines. A target may state something in such a field that this version ignores.
class unknown_header_log
{
public:
    /// `known_names`: fields that the dialect defines, in any case. `metrics` must outlive the
    /// object.
    unknown_header_log(
        const std::vector<std::string>& known_names, runtime::metrics_registry& metrics);

    /// Counts the responses with an unknown field, and logs each unknown name once (event 5004).
    void inspect(const std::string& address, const header_list& fields);

    /// Names that are kept and logged; further ones are only counted.
    static constexpr std::size_t max_names = 64;

private:
    /// Lower-case names.
    std::set<std::string> known_names_;
    std::set<std::string> logged_names_;
    runtime::metric_counter& responses_;
};

} // namespace catkintally::entry
