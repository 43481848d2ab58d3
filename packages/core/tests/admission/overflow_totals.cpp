// Totals and other results of an overflow_fleet.
#include "overflow_fleet.hpp"

#include <algorithm>

namespace catkintally::core
{

namespace
{

double part(std::size_t count, std::size_t of)
{
    return of == 0 ? 0 : static_cast<double>(count) / static_cast<double>(of);
}

} // namespace

double overflow_totals::mean_ms() const
{
    return response_ms_sum / static_cast<double>(std::max<std::size_t>(ended - refused, 1));
}

double overflow_totals::on_time_part() const
{
    return part(on_time, ended);
}

double overflow_totals::refused_part() const
{
    return part(refused, ended);
}

double overflow_totals::elsewhere_part() const
{
    return part(granted_elsewhere, granted);
}

overflow_totals& overflow_totals::operator+=(const overflow_totals& other)
{
    ended += other.ended;
    refused += other.refused;
    on_time += other.on_time;
    response_ms_sum += other.response_ms_sum;
    probes += other.probes;
    probes_elsewhere += other.probes_elsewhere;
    granted += other.granted;
    granted_elsewhere += other.granted_elsewhere;
    kilobytes_elsewhere += other.kilobytes_elsewhere;
    return *this;
}

double overflow_fleet::fraction(std::size_t domain) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto& each : instances_)
    {
        if (each->domain == domain)
        {
            const auto dumps = each->probing->overflows();
            sum += dumps.empty() ? 0 : dumps.front().fraction;
            ++count;
        }
    }
    return sum / static_cast<double>(count);
}

std::vector<double> overflow_fleet::elsewhere_by_second(std::size_t domain) const
{
    std::vector<double> parts;
    for (const second_counts& each : seconds_[domain])
    {
        parts.push_back(part(each.elsewhere, each.granted));
    }
    return parts;
}

std::size_t overflow_fleet::most_at_cold_target() const
{
    std::size_t most = 0;
    for (const simulated_target& each : targets_)
    {
        const auto& times = each.cold_arrivals;
        for (auto begin = times.begin(); begin != times.end(); ++begin)
        {
            const auto end = std::lower_bound(begin, times.end(), *begin + std::chrono::seconds(1));
            most = std::max(most, static_cast<std::size_t>(end - begin));
        }
    }
    return most;
}

std::size_t overflow_fleet::arrivals(std::size_t domain) const
{
    std::size_t sum = 0;
    for (const simulated_target& each : targets_)
    {
        sum += each.domain == domain ? each.arrivals : 0;
    }
    return sum;
}

} // namespace catkintally::core
