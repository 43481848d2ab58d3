#include <catkintally/bench/capacity/resource_meter.hpp>

#include <ctime>
#include <malloc.h>

namespace catkintally::bench
{

double processor_time_ns()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 + static_cast<double>(now.tv_nsec);
}

std::size_t allocated_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    // Large blocks come from mmap and are counted apart from the heap.
    return info.uordblks + info.hblkhd;
}

} // namespace catkintally::bench
