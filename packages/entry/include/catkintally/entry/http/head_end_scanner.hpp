#pragma once

#include <catkintally/entry/http/http_head.hpp>

#include <algorithm>

namespace catkintally::entry
{

/// Finds the end of a head that arrives in parts. Each byte is looked at once, so that a sender of
/// many small parts cannot cost more time than one of a whole head.
class head_end_scanner
{
public:
    /// `text` is all that has arrived of the head. Returns what find_head_end() does.
    [[nodiscard]] std::size_t find(std::string_view text)
    {
        const std::size_t end = find_head_end(text, scanned_);
        // An empty line has two bytes at most after the end of the line before it.
        constexpr std::size_t overlap = 2;
        const bool is_incomplete = end == std::string_view::npos;
        scanned_ = is_incomplete ? text.size() - std::min(text.size(), overlap) : 0;
        return end;
    }

private:
    std::size_t scanned_ = 0;
};

} // namespace catkintally::entry
