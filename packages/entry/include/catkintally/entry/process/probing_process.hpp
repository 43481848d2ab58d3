#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/news/reader_election.hpp>
#include <catkintally/entry/instance.hpp>
#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/entry/process/crash_record_part.hpp>
#include <catkintally/entry/process/quota_part.hpp>
#include <catkintally/entry/process/shortage_metrics.hpp>
#include <catkintally/entry/process/target_prober.hpp>
#include <catkintally/entry/table/configuration_follower.hpp>
#include <catkintally/entry/table/table_watcher.hpp>
#include <catkintally/platform/objects/platform_limits.hpp>
#include <catkintally/platform/store/http_object_store.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// One whole entry instance that decides alone: it asks targets for their load before each request
/// and needs no other instance. Its table comes from the project's own rows or from the objects of
/// the hosting platform; news of the latter are also passed between instances, so that only a few
/// of them read the store.
class probing_process
{
public:
    /// `loop` and `timers` must outlive this object.
    probing_process(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const runtime::settings& values,
        const platform::platform_limits& limits);

    /// Binds the addresses and begins to follow the store; false, with an event, if an address is
    /// not free.
    [[nodiscard]] bool start();

    /// Uses settings that can change while the process runs; returns the names of those.
    std::vector<std::string> reload(const runtime::settings& values);

    /// Planned stop; `stopped` is called when the process may exit.
    void stop(std::function<void()> stopped);

private:
    [[nodiscard]] core::target_rate_limiter_options limiter_options();
    [[nodiscard]] core::probing_gateway_options gateway_options();
    [[nodiscard]] instance_hooks hooks();
    void make_follower();
    void make_news();
    void use_table(const std::shared_ptr<const core::table_snapshot>& table);
    void add_metrics();
    [[nodiscard]] boost::json::value store_dump() const;

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    const runtime::settings settings_;
    const platform::platform_limits limits_;
    /// Store addresses in use; a reload may have changed them.
    std::vector<std::string> store_addresses_;
    core::target_dialect dialect_;
    platform::platform_api api_;
    /// Watches targets, with the settings' wait.
    platform::http_object_store store_;
    /// Watches objects that change rarely, with a longer wait.
    platform::http_object_store quiet_store_;
    target_prober prober_;
    core::target_rate_limiter limiter_;
    shortage_metrics shortage_metrics_;
    core::probing_gateway gateway_;
    quota_part quotas_;
    instance instance_;
    /// One of the two follows the store, by platform.configuration.
    std::unique_ptr<configuration_follower> follower_;
    std::unique_ptr<table_watcher> watcher_;
    /// With the follower only.
    std::unique_ptr<crash_record_part> crash_records_;
    std::unique_ptr<core::reader_election> duty_;
    std::unique_ptr<gossip_node> news_;
    bool has_table_ = false;
};

} // namespace catkintally::entry
