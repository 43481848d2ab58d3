#include <catkintally/entry/process/organisation_dump.hpp>

namespace catkintally::entry
{

boost::json::value to_json(const core::organisation_directory& organisations)
{
    if (!organisations.requires_keys())
    {
        return nullptr;
    }
    boost::json::array out;
    for (const core::organisation_row& row : organisations.rows())
    {
        boost::json::object& entry =
            out.emplace_back(
                   boost::json::object{{"name", row.name}, {"keys", row.key_digests.size()}})
                .as_object();
        if (row.priority)
        {
            entry["priority"] = *row.priority;
        }
        if (row.requests_per_s > 0)
        {
            entry["requests_per_s"] = row.requests_per_s;
            entry["burst"] = row.burst;
        }
    }
    return out;
}

} // namespace catkintally::entry
