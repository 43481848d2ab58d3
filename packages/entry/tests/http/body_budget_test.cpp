#include <catkintally/entry/http/body_budget.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::entry;

namespace
{

constexpr std::uint64_t kilobyte = 1'024;
constexpr std::uint64_t megabyte = 1'024 * kilobyte;

struct budget_row
{
    std::string name;
    /// Bytes reserved by other bodies.
    std::vector<std::uint64_t> others;
    std::uint64_t already_reserved;
    std::uint64_t additional;
    bool fits;
};

} // namespace

// Guards against a few large bodies that use up the memory for ordinary requests, and against
// reservations beyond the budget.
TEST_CASE("large bodies leave room for small ones")
{
    const auto row = GENERATE(values<budget_row>({
        {"first body", {}, 0, 1 * megabyte, true},
        {"largest single body", {}, 0, 2 * megabyte, true},
        {"beyond the largest single body", {}, 0, 2 * megabyte + 1, false},
        {"growing beyond it", {}, 1 * megabyte, 1 * megabyte + 1, false},
        {"a size that overflows", {}, megabyte, ~std::uint64_t{0}, false},
        {"large body beside large ones",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         0,
         100 * kilobyte,
         false},
        {"small body beside large ones",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         0,
         64 * kilobyte,
         true},
        {"small body that grows large",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         60 * kilobyte,
         10 * kilobyte,
         false},
    }));
    INFO(row.name);
    body_budget budget(8 * megabyte);
    for (const std::uint64_t other : row.others)
    {
        REQUIRE(budget.reserve(0, other));
    }
    REQUIRE((row.already_reserved == 0 || budget.reserve(0, row.already_reserved)));
    const std::uint64_t before = budget.reserved_bytes();
    CHECK(budget.reserve(row.already_reserved, row.additional) == row.fits);
    CHECK(budget.reserved_bytes() == before + (row.fits ? row.additional : 0));
    CHECK(budget.refused() == (row.fits ? 0 : 1));
}

// Guards against small bodies that exceed the budget, and against memory that is not released with
// the last owner of a body.
TEST_CASE("small bodies stay within the budget and give their memory back")
{
    const auto budget = std::make_shared<body_budget>(1 * megabyte);
    std::vector<shared_body> bodies;
    std::vector<shared_body> copies;
    bool full = false;
    while (!full && bodies.size() < 100)
    {
        body_reservation reservation(budget);
        full = !reservation.grow_to(64 * kilobyte);
        if (!full)
        {
            bodies.push_back(make_shared_body("text", std::move(reservation)));
        }
    }
    CHECK(bodies.size() == 16);
    CHECK(budget->reserved_bytes() == megabyte);
    copies.push_back(bodies.front());
    bodies.clear();
    CHECK(budget->reserved_bytes() == 64 * kilobyte);
    copies.clear();
    CHECK(budget->reserved_bytes() == 0);
}
