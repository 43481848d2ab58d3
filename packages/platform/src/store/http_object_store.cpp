#include <catkintally/platform/store/http_object_store.hpp>

#include <boost/json.hpp>

#include <stdexcept>
#include <utility>

namespace catkintally::platform
{

namespace json = boost::json;
using core::store_list_result;
using core::store_object;
using core::store_result;
using core::store_status;
using runtime::http_method;

namespace
{

std::string object_target(const std::string& key)
{
    return "/v1/objects/" + percent_encode(key, "/");
}

std::string conditional_target(const std::string& key, std::uint64_t if_version)
{
    return object_target(key) + "?if_version=" + std::to_string(if_version);
}

std::uint64_t version_in(const json::object& from)
{
    return from.at("version").to_number<std::uint64_t>();
}

store_result parse_object(const api_answer& answer)
{
    store_result result{.status = answer.status, .version = 0, .value = {}};
    const auto parsed = json::parse(answer.body).as_object();
    result.version = version_in(parsed);
    if (const auto* value = parsed.if_contains("value"))
    {
        result.value = json::serialize(*value);
    }
    return result;
}

store_list_result parse_list(const api_answer& answer)
{
    store_list_result result{.status = answer.status, .version = 0, .objects = {}};
    const auto parsed = json::parse(answer.body).as_object();
    result.version = version_in(parsed);
    const auto* events = parsed.if_contains("events");
    for (const auto& each : (events == nullptr ? parsed.at("objects") : *events).as_array())
    {
        const auto& entry = each.as_object();
        const auto& value = entry.at("value");
        result.objects.push_back(
            {.key = std::string(entry.at("key").as_string()),
             .version = version_in(entry),
             .value = json::serialize(value),
             // Stored values are JSON objects, so null can only stand for a deletion.
             .deleted = events != nullptr && value.is_null()});
    }
    return result;
}

/// An answer that cannot be read is as good as none.
template <class Result, class Parse>
Result read_answer(const api_answer& answer, Parse parse)
{
    Result failed;
    failed.status = answer.status;
    if (answer.status != store_status::ok && answer.status != store_status::conflict)
    {
        return failed;
    }
    try
    {
        return parse(answer);
    }
    catch (const std::exception&)
    {
        failed.status = store_status::unknown;
        return failed;
    }
}

} // namespace

void http_object_store::get(const std::string& key, result_hook done)
{
    call_object({.kind = call_kind::get, .target = object_target(key)}, std::move(done));
}

void http_object_store::list(const std::string& prefix, list_hook done)
{
    call_list(
        {.kind = call_kind::list, .target = "/v1/objects?prefix=" + percent_encode(prefix, "/")},
        std::move(done));
}

void http_object_store::put(
    const std::string& key, const std::string& value, std::uint64_t if_version, result_hook done)
{
    call_object(
        {.kind = call_kind::put,
         .method = http_method::put,
         .target = conditional_target(key, if_version),
         .body = value},
        std::move(done));
}

void http_object_store::remove(const std::string& key, std::uint64_t if_version, result_hook done)
{
    call_object(
        {.kind = call_kind::remove,
         .method = http_method::remove,
         .target = conditional_target(key, if_version)},
        std::move(done));
}

void http_object_store::watch(const std::string& prefix, std::uint64_t from, list_hook done)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(options_.watch_wait);
    call_list(
        {.kind = call_kind::watch,
         .target = "/v1/watch?prefix=" + percent_encode(prefix, "/") +
                   "&from=" + std::to_string(from) + "&timeout_ms=" + std::to_string(wait.count()),
         .api_wait = options_.watch_wait},
        std::move(done));
}

void http_object_store::call_object(api_call request, result_hook done)
{
    api_.call(
        std::move(request), [done = std::move(done)](const api_answer& answer)
        { done(read_answer<store_result>(answer, parse_object)); });
}

void http_object_store::call_list(api_call request, list_hook done)
{
    api_.call(
        std::move(request), [done = std::move(done)](const api_answer& answer)
        { done(read_answer<store_list_result>(answer, parse_list)); });
}

} // namespace catkintally::platform
