#include <catkintally/entry/http/body_budget.hpp>

#include <cassert>

namespace catkintally::entry
{

namespace
{

/// Share of the budget that a single body may take (one quarter), and share that is open to large
/// bodies (three quarters).
constexpr std::uint64_t body_divisor = 4;
constexpr std::uint64_t large_bodies_quarters = 3;

/// Bodies up to this size, in bytes, may use the whole budget. Lookup and order requests are far
/// smaller.
constexpr std::uint64_t max_small_body_bytes = 65'536;

struct reserved_body
{
    std::string text;
    body_reservation reservation;
};

} // namespace

std::uint64_t body_budget::largest_body() const
{
    return capacity_bytes_ / body_divisor;
}

bool body_budget::reserve(std::uint64_t already_reserved, std::uint64_t additional)
{
    const std::uint64_t largest = largest_body();
    const std::uint64_t usable =
        additional <= max_small_body_bytes && already_reserved <= max_small_body_bytes - additional
            ? capacity_bytes_
            : largest * large_bodies_quarters;
    if (additional > largest || already_reserved > largest - additional || additional > usable ||
        reserved_bytes_ > usable - additional)
    {
        ++failed_reservations_;
        return false;
    }
    reserved_bytes_ += additional;
    return true;
}

void body_budget::release(std::uint64_t bytes)
{
    assert(bytes <= reserved_bytes_);
    reserved_bytes_ -= bytes;
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

shared_body make_shared_body(std::string text, body_reservation reservation)
{
    const auto body =
        std::make_shared<reserved_body>(reserved_body{std::move(text), std::move(reservation)});
    return {body, &body->text};
}

} // namespace catkintally::entry
