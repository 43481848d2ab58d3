#include <catkintally/core/fleet/view_codec.hpp>

#include <boost/json.hpp>

#include <set>
#include <stdexcept>

namespace catkintally::core
{

namespace json = boost::json;

namespace
{

json::array encode_members(const std::vector<member>& members)
{
    json::array out;
    for (const member& entry : members)
    {
        out.push_back(json::object{
            {"instance", entry.id.instance},
            {"incarnation", entry.id.incarnation},
            {"failure_domain", entry.failure_domain},
            {"peer_address", entry.peer_address},
            {"state", entry.leaving ? "leaving" : "active"}});
    }
    return out;
}

std::string text_of(const json::object& source, const char* name)
{
    return json::value_to<std::string>(source.at(name));
}

std::vector<member> decode_members(const json::value& source)
{
    std::vector<member> members;
    std::set<std::string> instances;
    for (const json::value& value : source.as_array())
    {
        const json::object& entry = value.as_object();
        member decoded{
            .id =
                {.instance = text_of(entry, "instance"),
                 .incarnation = json::value_to<std::uint64_t>(entry.at("incarnation"))},
            .failure_domain = text_of(entry, "failure_domain"),
            .peer_address = text_of(entry, "peer_address"),
            .leaving = text_of(entry, "state") == "leaving"};
        if (!instances.insert(decoded.id.instance).second)
        {
            throw std::invalid_argument("instance listed twice");
        }
        members.push_back(std::move(decoded));
    }
    return members;
}

} // namespace

std::string encode_view(const view& source)
{
    json::array history;
    for (const past_epoch& entry : source.history)
    {
        history.push_back(
            json::object{{"epoch", entry.epoch}, {"members", encode_members(entry.members)}});
    }
    return json::serialize(json::object{
        {"epoch", source.epoch},
        {"members", encode_members(source.members)},
        {"history", std::move(history)}});
}

std::optional<view> decode_view(const std::string& text)
{
    // Boost.JSON reports wrong types by exceptions; they end here.
    try
    {
        const json::value root = json::parse(text);
        const json::object& object = root.as_object();
        view decoded;
        decoded.epoch = json::value_to<std::uint64_t>(object.at("epoch"));
        decoded.members = decode_members(object.at("members"));
        std::uint64_t expected = decoded.epoch;
        for (const json::value& value : object.at("history").as_array())
        {
            const json::object& entry = value.as_object();
            past_epoch past{
                .epoch = json::value_to<std::uint64_t>(entry.at("epoch")),
                .members = decode_members(entry.at("members"))};
            if (past.epoch == 0 || past.epoch + 1 != expected)
            {
                return std::nullopt;
            }
            expected = past.epoch;
            decoded.history.push_back(std::move(past));
        }
        if (decoded.epoch == 0 || decoded.history.size() > view_history_epochs)
        {
            return std::nullopt;
        }
        return decoded;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace catkintally::core
