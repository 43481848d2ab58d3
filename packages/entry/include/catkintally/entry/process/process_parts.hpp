#pragma once

#include <catkintally/platform/store/platform_api.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <cstdint>

namespace catkintally::entry
{

/// A number that differs between processes.
[[nodiscard]] std::uint64_t random_number();

/// Options of the store's client from the settings.
[[nodiscard]] platform::platform_api_options api_options(const runtime::platform_settings& values);

/// Adds the counts of calls to the platform's API by kind and result. `api` must outlive the
/// metrics.
void add_store_metrics(runtime::metrics_registry& metrics, const platform::platform_api& api);

} // namespace catkintally::entry
