#pragma once

#include <catkintally/core/admission/admission_decision.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Number of values of decision_code.
inline constexpr std::size_t decision_code_count = static_cast<std::size_t>(decision_code::MAX) + 1;

/// State of one target as the owner sees it.
struct target_dump
{
    std::string name;
    std::string failure_domain;
    wire::target_phase phase = wire::target_phase::cold;
    /// Current concurrency limit, including requests allowed beyond the slots.
    std::uint32_t limit = 0;
    std::uint32_t in_flight = 0;
    /// False while the row, its weight or its failure domain forbids new work.
    bool available = false;
    /// True while the target reports that it is draining.
    bool reports_draining = false;
    std::uint32_t consecutive_failures = 0;
};

/// Snapshot of one service_admission, for the dump command and the metrics.
struct service_admission_dump
{
    std::string service;
    std::uint64_t version = 0;
    std::vector<target_dump> targets;
    std::uint32_t queued_front = 0;
    std::uint32_t queued_archive = 0;
    /// Decisions since the start, indexed by decision_code.
    std::array<std::uint64_t, decision_code_count> decisions{};
    /// Retries that may be admitted now.
    double retry_tokens = 0;
    std::uint64_t probes_sent = 0;
    /// Probes that were due but delayed by the probe budget.
    std::uint64_t probes_delayed = 0;
    std::uint64_t ejections = 0;
    /// Ejections prevented because at most half of the targets may be ejected.
    std::uint64_t ejections_prevented = 0;
    /// Places released because no completion arrived in time.
    std::uint64_t places_expired = 0;
    /// Identities (fingerprints and keys) refused now because their requests crashed two targets.
    std::uint64_t crashing_requests = 0;
    /// Median service time in microseconds; 0 until there are enough completions.
    std::uint64_t typical_time_us = 0;
};

} // namespace catkintally::core
