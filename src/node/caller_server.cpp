#include "node/caller_server.h"
#include "node/caller_connection.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace siskinstage {

namespace {

constexpr int IdleThreads = 16;
constexpr int ThreadIdleSeconds = 30;

/// Makes the handler of a new connection.
class Factory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit Factory(NodeContext &Context) : Context(Context) {}
  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new CallerConnection(Socket, this->Context);
  }

private:
  NodeContext &Context;
};

} // namespace

CallerServer::CallerServer(int MaxConnections)
    : Pool("callers", IdleThreads, MaxConnections + 1, ThreadIdleSeconds,
           config::CallerThreadStackBytes) {}

Result<std::unique_ptr<CallerServer>>
CallerServer::start(NodeContext &Context) {
  const Settings &Set = Context.Set;
  std::unique_ptr<CallerServer> New(new CallerServer(Set.MaxConnections));
  try {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Set.Listen.str()), true, false);
    Socket.listen(config::CallerListenBacklog);
    auto *Params = new Poco::Net::TCPServerParams;
    Params->setMaxThreads(Set.MaxConnections);
    Params->setMaxQueued(config::CallerListenBacklog);
    New->Server = std::make_unique<Poco::Net::TCPServer>(
        new Factory(Context), New->Pool, Socket, Params);
    New->Server->start();
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Set.Listen.str(), Fault.displayText());
  }
  return New;
}

void CallerServer::stopAccepting() { this->Server->stop(); }

} // namespace siskinstage
