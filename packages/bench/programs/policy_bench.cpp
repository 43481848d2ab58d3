#include <catkintally/bench/policy/policy_run.hpp>

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

using namespace catkintally;
using namespace catkintally::bench;

namespace
{

const char* const usage =
    R"(Measures the admission policy in virtual time against baselines and an oracle.

Usage:
  policy_bench [--seed=N] [--seconds=N] [--service=NAME]

Options:
  --seed=N        Seed of arrivals, work and slow windows [default: 1].
  --seconds=N     Virtual seconds of each run [default: 65].
  --service=NAME  Only this service [default: ].
)";

const std::vector<deployment> deployments = {
    {"tw-paper-stock", core::work_class::lookup, 8, 2, 4},
    {"tw-print-intake", core::work_class::order, 8, 2, 4},
    {"tw-templates", core::work_class::archive, 12, 2, 4},
    {"bg-catalog", core::work_class::lookup, 8, 3, 3},
    {"bg-order-desk", core::work_class::order, 6, 3, 3},
    {"bg-archive", core::work_class::archive, 12, 3, 3}};

constexpr std::array loads = {0.3, 0.5, 0.7, 0.85, 1.3};

/// One workload and the results of all policies on it.
struct cell
{
    const deployment* service = nullptr;
    double load = 0;
    std::map<policy, policy_result> results;

    [[nodiscard]] double best_baseline(double share) const
    {
        double best = results.at(policy::round_robin).quantile_ms(share);
        for (const policy baseline : {policy::two_choices, policy::least_in_flight})
        {
            best = std::min(best, results.at(baseline).quantile_ms(share));
        }
        return best;
    }

    [[nodiscard]] double owner(double share) const
    {
        return results.at(policy::owner).quantile_ms(share);
    }
};

void run_cell(cell& current, std::uint64_t seed, core::duration length)
{
    const workload load =
        make_workload(*current.service, {.seed = seed, .load = current.load, .length = length});
    for (std::size_t number = 0; number < policy_names.size(); ++number)
    {
        const auto decides = static_cast<policy>(number);
        current.results[decides] = policy_run(*current.service, load, decides).run();
    }
}

void print(const cell& current)
{
    for (const auto& [decides, result] : current.results)
    {
        std::cout << std::left << std::setw(16) << current.service->name << std::right
                  << std::setw(6) << current.load << "  " << std::left << std::setw(16)
                  << policy_names[static_cast<std::size_t>(decides)] << std::right << std::fixed
                  << std::setprecision(2);
        for (const double share : {0.5, 0.99, 0.999})
        {
            std::cout << std::setw(10) << result.quantile_ms(share);
        }
        std::cout << std::defaultfloat << std::setw(10) << result.added.size() << std::setw(9)
                  << result.refused << std::setw(9) << result.timed_out << "\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    const auto length = std::chrono::seconds(arguments.at("--seconds").asLong());
    const std::string only = arguments.at("--service").asString();

    std::vector<cell> cells;
    for (const deployment& service : deployments)
    {
        for (const double load : loads)
        {
            if (only.empty() || only == service.name)
            {
                cells.push_back({.service = &service, .load = load, .results = {}});
            }
        }
    }

    // The cells are independent; four threads leave room for other work on the machine.
    constexpr std::size_t worker_count = 4;
    std::atomic<std::size_t> next = 0;
    {
        std::vector<std::jthread> workers;
        workers.reserve(worker_count);
        for (std::size_t worker = 0; worker < worker_count; ++worker)
        {
            workers.emplace_back(
                [&]
                {
                    for (std::size_t taken = next++; taken < cells.size(); taken = next++)
                    {
                        run_cell(cells[taken], seed, length);
                    }
                });
        }
    }

    std::cout << "added latency in ms (hops, waiting and slowdowns; not the work itself)\n"
              << "service           load  policy                 p50       p99     p99.9  answered"
                 "  refused  timeout\n";
    // Ratios are those of the worse one of the two lookup services.
    std::map<double, double> baseline_ratio;
    double oracle_ratio = 0;
    double p50_difference = -1e9;
    for (const cell& current : cells)
    {
        print(current);
        if (current.service->work != core::work_class::lookup)
        {
            continue;
        }
        double& ratio = baseline_ratio[current.load];
        ratio = std::max(ratio, current.owner(0.99) / current.best_baseline(0.99));
        if (current.load == 0.7)
        {
            const double oracle = current.results.at(policy::oracle).quantile_ms(0.99);
            oracle_ratio = std::max(oracle_ratio, current.owner(0.99) / oracle);
        }
        if (current.load == 0.3)
        {
            p50_difference =
                std::max(p50_difference, current.owner(0.5) - current.best_baseline(0.5));
        }
    }
    std::cout << std::fixed << std::setprecision(2) << "seed " << seed << ", " << length.count()
              << " s virtual; p50 at 0.3 on lookups: owner minus best baseline " << p50_difference
              << " ms\n"
              << "bench policy: p99_ratio_070=" << baseline_ratio[0.7]
              << " p99_ratio_085=" << baseline_ratio[0.85] << " oracle_ratio_070=" << oracle_ratio
              << "\n";
    return 0;
}
