package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with a thread for each connection. */
abstract class Server implements AutoCloseable {
    /** A connection; requests on it are handled one after the other. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Closes the connection with a reset, as the end of a process with unread bytes does. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    private volatile ServerSocket listener;
    private final int port;
    protected final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    Server(int port) throws IOException {
        listen(port);
        this.port = listener.getLocalPort();
    }

    private void listen(int port) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        listener = opened;
        Thread acceptor = new Thread(() -> accept(opened), "accept");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Ends as a process that crashes: connections are reset, and new ones are refused. */
    final void goDown() throws IOException {
        listener.close();
        connections.forEach(Connection::reset);
    }

    /** Listens again at the same address. */
    final void comeBack() throws IOException {
        listen(port);
    }

    final int port() {
        return port;
    }

    final String address() {
        return "127.0.0.1:" + port();
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(socket), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException ended) {
                if (!from.isClosed()) ended.printStackTrace();
            }
        }
    }

    private void serve(Socket socket) {
        Connection connection = null;
        try {
            connection = new Connection(socket);
            connections.add(connection);
            handle(connection);
        } catch (IOException | InterruptedException ended) {
            // The other end is gone.
        } finally {
            if (connection != null) connections.remove(connection);
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    /** Serves [connection] until it ends. */
    abstract void handle(Connection connection) throws IOException, InterruptedException;

    @Override
    public void close() throws IOException {
        goDown();
    }
}
