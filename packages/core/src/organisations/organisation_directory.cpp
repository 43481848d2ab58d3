#include <catkintally/core/organisations/organisation_directory.hpp>

#include <algorithm>
#include <cstring>
#include <numeric>

namespace catkintally::core
{

std::size_t organisation_directory::digest_hash::operator()(std::string_view digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), std::min(digest.size(), sizeof hash));
    return hash;
}

bool organisation_directory::apply(
    const std::optional<std::vector<organisation_row>>& organisations)
{
    if (organisations == rows_)
    {
        return false;
    }
    owners_.clear();
    rows_ = organisations;
    const auto keys = std::accumulate(
        rows().begin(), rows().end(), std::size_t{0},
        [](std::size_t sum, const organisation_row& row) { return sum + row.key_digests.size(); });
    owners_.reserve(keys);
    for (const organisation_row& row : rows())
    {
        for (const std::string& digest : row.key_digests)
        {
            owners_.emplace(digest, &row);
        }
    }
    return true;
}

const organisation_row* organisation_directory::find(std::string_view key_digest) const
{
    const auto found = owners_.find(key_digest);
    return found == owners_.end() ? nullptr : found->second;
}

const std::vector<organisation_row>& organisation_directory::rows() const
{
    static const std::vector<organisation_row> none;
    return rows_ ? *rows_ : none;
}

} // namespace catkintally::core
