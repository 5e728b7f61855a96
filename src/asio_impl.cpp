// Compiles Boost.Asio and Boost.Beast once, which keeps their bodies out of every other unit.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
