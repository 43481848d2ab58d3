#include <catkintally/ctl/command/console.hpp>

#include <algorithm>

namespace catkintally::ctl
{

std::string align(const std::vector<std::vector<std::string>>& lines)
{
    std::vector<std::size_t> widths;
    for (const auto& line : lines)
    {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t i = 0; i < line.size(); ++i)
        {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const auto& line : lines)
    {
        for (std::size_t i = 0; i < line.size(); ++i)
        {
            const bool last = i + 1 == line.size();
            text += line[i] + (last ? "" : std::string(widths[i] - line[i].size() + 2, ' '));
        }
        text += '\n';
    }
    return text;
}

} // namespace catkintally::ctl
