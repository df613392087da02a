#include "node/caller_server.h"
#include "node/caller_connection.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <thread>

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

CallerServer::CallerServer(NodeContext &Context)
    : Pool("callers", IdleThreads, Context.Set.MaxConnections + 1,
           ThreadIdleSeconds, config::CallerThreadStackBytes),
      Context(Context) {}

Result<std::unique_ptr<CallerServer>>
CallerServer::start(NodeContext &Context, const Address &Where) {
  const Settings &Set = Context.Set;
  std::unique_ptr<CallerServer> New(new CallerServer(Context));
  try {
    Poco::Net::ServerSocket &Socket = New->Socket;
    Socket.bind(Poco::Net::SocketAddress(Where.str()), true, false);
    Socket.listen(config::CallerListenBacklog);
    auto *Params = new Poco::Net::TCPServerParams;
    Params->setMaxThreads(Set.MaxConnections);
    Params->setMaxQueued(config::CallerListenBacklog);
    New->Server = std::make_unique<Poco::Net::TCPServer>(
        new Factory(Context), New->Pool, Socket, Params);
    New->Server->start();
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Where.str(), Fault.displayText());
  }
  return New;
}

void CallerServer::stopAccepting() {
  this->Server->stop();
  while (this->Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    const Poco::Net::StreamSocket Late = this->Socket.acceptConnection();
    std::thread([this, Late] {
      CallerConnection(Late, this->Context).run();
    }).detach();
  }
  this->Socket.close();
}

} // namespace siskinstage
