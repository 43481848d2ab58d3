#pragma once

#include <cstdint>

namespace catkintally::core
{

/// SplitMix64 pseudo-random number generator. Small, and its results are the same with every
/// standard library, unlike those of the standard distributions.
class split_mix
{
public:
    explicit split_mix(std::uint64_t seed)
        : state_(seed)
    {
    }

    /// Returns the next 64 random bits.
    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        return mixed ^ (mixed >> 31);
    }

private:
    std::uint64_t state_;
};

} // namespace catkintally::core
