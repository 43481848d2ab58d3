#include <catkintally/entry/http/body_budget.hpp>

#include <cassert>

namespace catkintally::entry
{

namespace
{

/// Part of the budget that one body may take, and that all large ones may take together.
constexpr std::uint64_t body_divisor = 4;
constexpr std::uint64_t large_bodies_quarters = 3;

/// Bodies up to this size may use the whole budget. Lookups and orders are far smaller.
constexpr std::uint64_t small_body = 65'536;

struct held_body
{
    std::string text;
    body_reservation reservation;
};

} // namespace

std::uint64_t body_budget::largest_body() const
{
    return bytes_ / body_divisor;
}

bool body_budget::reserve(std::uint64_t held, std::uint64_t more)
{
    const std::uint64_t largest = largest_body();
    const std::uint64_t usable =
        more <= small_body && held <= small_body - more ? bytes_ : largest * large_bodies_quarters;
    if (more > largest || held > largest - more || more > usable || used_ > usable - more)
    {
        ++refused_;
        return false;
    }
    used_ += more;
    return true;
}

void body_budget::release(std::uint64_t bytes)
{
    assert(bytes <= used_);
    used_ -= bytes;
}

body_reservation::~body_reservation()
{
    if (budget_)
    {
        budget_->release(bytes_);
    }
}

bool body_reservation::grow_to(std::uint64_t total)
{
    if (!budget_ || total <= bytes_)
    {
        return true;
    }
    if (!budget_->reserve(bytes_, total - bytes_))
    {
        return false;
    }
    bytes_ = total;
    return true;
}

shared_body hold_body(std::string text, body_reservation reservation)
{
    const auto held =
        std::make_shared<held_body>(held_body{std::move(text), std::move(reservation)});
    return {held, &held->text};
}

} // namespace catkintally::entry
