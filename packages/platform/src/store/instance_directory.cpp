#include <catkintally/platform/store/instance_directory.hpp>

#include <boost/json.hpp>

#include <stdexcept>
#include <utility>

namespace catkintally::platform
{

namespace json = boost::json;
using core::store_status;

namespace
{

std::string text_in(const json::object& entry, const char* name)
{
    const auto* value = entry.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::vector<listed_instance> parse_instances(const std::string& body)
{
    std::vector<listed_instance> listed;
    const auto parsed = json::parse(body);
    for (const auto& each : parsed.at("instances").as_array())
    {
        const auto& entry = each.as_object();
        listed_instance instance{
            .id = text_in(entry, "id"),
            .address = text_in(entry, "address"),
            .domain = text_in(entry, "domain"),
            .leaving = text_in(entry, "state") == "leaving",
            .admin = text_in(entry, "admin")};
        if (!instance.id.empty())
        {
            listed.push_back(std::move(instance));
        }
    }
    return listed;
}

} // namespace

void instance_directory::list(list_hook done)
{
    api_.call(
        {.kind = call_kind::instances, .target = "/v1/instances"},
        [done = std::move(done)](const api_answer& answer)
        {
            std::vector<listed_instance> listed;
            auto status = answer.status;
            if (status == store_status::ok)
            {
                try
                {
                    listed = parse_instances(answer.body);
                }
                catch (const std::exception&)
                {
                    status = store_status::unknown;
                }
            }
            done(status, std::move(listed));
        });
}

void instance_directory::announce(
    const listed_instance& self, std::function<void(core::store_status)> done)
{
    const json::object entry = {
        {"id", self.id},
        {"address", self.address},
        {"domain", self.domain},
        {"state", self.leaving ? "leaving" : "live"},
        {"admin", self.admin}};
    api_.call(
        {.kind = call_kind::instances,
         .method = runtime::http_method::put,
         .target = "/v1/instances/" + percent_encode(self.id),
         .body = json::serialize(entry)},
        [done = std::move(done)](const api_answer& answer) { done(answer.status); });
}

} // namespace catkintally::platform
