#ifndef SISKINSTAGE_TESTS_CONNECTION_PAIR_H
#define SISKINSTAGE_TESTS_CONNECTION_PAIR_H

#include "net/boot_time.h"
#include "net/tcp_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace siskinstage {

/// Both ends of a loopback connection.
struct ConnectionPair {
  ConnectionPair()
      : Listener(Poco::Net::SocketAddress("127.0.0.1:0")),
        Near(*TcpConnection::connect(
            Address(this->Listener.address().toString()),
            bootNow() + std::chrono::seconds(5))),
        Far(this->Listener.acceptConnection()) {}
  Poco::Net::ServerSocket Listener;
  TcpConnection Near;
  TcpConnection Far;
};

} // namespace siskinstage

#endif // SISKINSTAGE_TESTS_CONNECTION_PAIR_H
