#pragma once

#include <catkintally/core/limits/organisation_quota.hpp>
#include <catkintally/entry/http/quota_gate.hpp>
#include <catkintally/entry/instance.hpp>
#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/platform/objects/platform_limits.hpp>

#include <functional>
#include <memory>
#include <string>

namespace catkintally::entry
{

/// Inputs of a quota_part.
struct quota_part_options
{
    core::timer_service* timers = nullptr;
    /// Name of this instance.
    std::string self;
    platform::platform_limits limits{};
    /// Links to the other instances; nullptr if there are none.
    std::function<gossip_node*()> news;
    /// See organisation_quota_options.
    std::function<bool()> in_contact;
};

/// The quotas of organisations in a process: connects organisation_quota with the links to other
/// instances, the path of requests, the metrics and the dump.
class quota_part
{
public:
    explicit quota_part(quota_part_options options);

    void apply(const core::table_snapshot& table) { quota_.apply(table); }
    void leave() { quota_.leave(); }

    /// Hooks of the path of requests.
    [[nodiscard]] quota_hooks hooks();

    /// Handles a message of a neighbour; others than those about quotas are ignored.
    void receive(const core::member& from, const wire::payloadUnion& message);

    /// Sends the known demand to an instance that was linked.
    void on_linked(const core::member_id& peer);

    /// Adds the metrics and the section `quotas` of the dump.
    void add_to(instance& shown);

private:
    [[nodiscard]] core::organisation_quota_options quota_options() const;
    void send_tokens(const std::string& neighbour, const core::token_message& message) const;

    quota_part_options options_;
    core::organisation_quota quota_;
};

} // namespace catkintally::entry
