#include <catkintally/bench/capacity/linear_fit.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::bench;

// Guards against capacity figures that come from a wrong slope or hide a bad fit.
TEST_CASE("a line is fitted by least squares and its residual is reported")
{
    const linear_fit exact = fit_line({{1, 5}, {2, 7}, {4, 11}});
    CHECK(exact.slope == Approx(2));
    CHECK(exact.offset == Approx(3));
    CHECK(exact.worst_residual == Approx(0).margin(1e-12));

    const linear_fit curved = fit_line({{0, 0}, {1, 1}, {2, 4}});
    CHECK(curved.slope == Approx(2));
    CHECK(curved.worst_residual > 0.1);
}
