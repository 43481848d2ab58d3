#pragma once

#include <catkintally/core/table/endpoint.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::stand_ins
{

/// What the load driver sends, where and for how long.
struct load_options
{
    std::vector<core::endpoint> instances;
    std::uint64_t seed = 1;
    /// New lookups and orders a second, over all instances.
    double lookups_per_s = 50;
    double orders_per_s = 20;
    core::duration length = std::chrono::seconds(10);
    /// Times since the start at which a new phase begins.
    std::vector<core::duration> marks;
    std::string lookup_host = "lookup.test";
    std::string lookup_path = "/lookup";
    std::string order_host = "order.test";
    std::string order_path = "/order";
    std::string key_header = "idempotency-key";
    /// Start of every idempotency key.
    std::string key_prefix = "k";
    core::duration attempt_time = std::chrono::seconds(2);
    /// How long a caller keeps sending one order.
    core::duration give_up_after = std::chrono::seconds(10);
    core::duration pause_between_attempts = std::chrono::milliseconds(100);
};

} // namespace catkintally::stand_ins
