CREATE TABLE letter (id text, session text, n bigint, team text, body text);
CREATE INDEX letter_by_session ON letter (session, n);
CREATE TABLE page (id int PRIMARY KEY, title text);
INSERT INTO page VALUES (1, 'Letters to the editor');
