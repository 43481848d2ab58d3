#include <catkintally/core/table/endpoint.hpp>
#include <catkintally/entry/process/process_parts.hpp>

#include <random>
#include <string>

namespace catkintally::entry
{

std::uint64_t random_number()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

platform::platform_api_options api_options(const runtime::platform_settings& values)
{
    platform::platform_api_options options;
    options.call_deadline = std::chrono::milliseconds(values.call_time_ms);
    for (const std::string& address : values.addresses)
    {
        // The settings loader has checked the form of each address.
        options.addresses.push_back(core::parse_endpoint(address).value());
    }
    return options;
}

void add_store_metrics(runtime::metrics_registry& metrics, const platform::platform_api& api)
{
    for (std::size_t kind = 0; kind < platform::call_kind_count; ++kind)
    {
        for (std::size_t status = 0; status < platform::store_status_count; ++status)
        {
            metrics.gauge(
                "catkintally_store_calls",
                {{"kind", std::string(to_string(static_cast<platform::call_kind>(kind)))},
                 {"status",
                  std::string(platform::to_string(static_cast<core::store_status>(status)))}},
                [&api, kind, status]
                { return static_cast<double>(api.counts().results[kind][status]); });
        }
    }
}

} // namespace catkintally::entry
